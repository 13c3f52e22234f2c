"""How soon an endpoint would begin to answer."""

#: Passes until the first event: half a pass on average before the prompt is read,
#: since a request comes at any moment of the pass that is running, and the pass
#: that makes the first event's tokens. Seen: 0.12 s at 2 to 11 running requests.
PASSES_TO_FIRST_TOKEN = 1.5

#: Seconds for the way there and back, and for the prompts of others that are read
#: in the same pass.
FIRST_TOKEN_OVERHEAD = 0.02

#: How much longer than its decoding alone a request holds its slot under load,
#: since the prompts of the others are read between its tokens. At the rate at
#: which 16 slots turn over, a third of an engine's time goes into prompts.
PREFILL_STRETCH = 1.4


def time_to_first_token(profile, *, load, prompt_tokens, pace=1.0):
    """Return the expected time to the first token.

    Parameters
    ----------
    profile : EngineProfile
    load : int
        Requests that are there already.
    prompt_tokens : int
    pace : float, default=1.0

    Returns
    -------
    float
        Seconds.
    """
    step = profile.step + profile.step_per_request * min(load, profile.slots)
    pass_time = profile.steps_per_pass * step
    reading = prompt_tokens / profile.read_rate
    ahead = max(0, load + 1 - profile.slots)
    waiting = ahead * slot_release_interval(profile)
    return (
        pace * (waiting + PASSES_TO_FIRST_TOKEN * pass_time + reading)
        + FIRST_TOKEN_OVERHEAD
    )


def expected_first_token(endpoint, profile, ask, *, load, now):
    """Return the expected time to a request's first token at an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    profile : EngineProfile
    ask : Ask
    load : float
        Requests that are there already.
    now : float

    Returns
    -------
    float
        Seconds.
    """
    # Where pieces fill all links none can be left alone for it, and requests that
    # can't be on time would reach engines after their callers had left.
    return (
        endpoint.link_delay
        + endpoint.reading.left(now)
        + time_to_first_token(
            profile,
            load=load,
            prompt_tokens=ask.prompt_tokens,
            pace=endpoint.pace,
        )
    )


def prefill_time(endpoint, profile, prompt_tokens):
    """Return the seconds in which an engine reads a prompt.

    Parameters
    ----------
    endpoint : Endpoint
    profile : EngineProfile
    prompt_tokens : int

    Returns
    -------
    float
    """
    return endpoint.pace * prompt_tokens / profile.read_rate


def slot_release_interval(profile):
    """Return the mean time between two slots of a full engine becoming free.

    Parameters
    ----------
    profile : EngineProfile

    Returns
    -------
    float
        Seconds.
    """
    step = profile.step + profile.step_per_request * profile.slots
    slot_time = profile.usual_answer * step * PREFILL_STRETCH
    slot_time += profile.usual_prompt / profile.read_rate
    return slot_time / profile.slots


def expected_response_time(endpoint):
    """Return the expected time of a plain service's answer.

    Parameters
    ----------
    endpoint : Endpoint

    Returns
    -------
    float
        Seconds.
    """
    slots = max(1, endpoint.entry.slots)
    ahead = max(0, endpoint.load + 1 - slots)
    return endpoint.mean_response_time * (1 + ahead / slots)
