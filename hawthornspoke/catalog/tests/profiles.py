"""Engine profiles for tests."""

from hawthornspoke.catalog import EngineProfile


def engine_profile(**changes):
    """Return the profile of a small engine.

    Parameters
    ----------
    **changes
        Fields of EngineProfile that override the defaults.

    Returns
    -------
    EngineProfile
    """
    fields = {
        "model": "m",
        "slots": 4,
        "step": 0.007,
        "step_per_request": 0.00002,
        "steps_per_prefill": 6,
        "prefill_rate": 30000.0,
        "mean_prompt_tokens": 900.0,
        "mean_answer_tokens": 120.0,
        "layers": 16,
    }
    return EngineProfile(**{**fields, **changes})
