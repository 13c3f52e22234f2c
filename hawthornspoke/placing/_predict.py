"""Predicts how soon an endpoint starts to respond."""

#: Engine passes until the first event: on average half a pass until the running pass
#: ends, since requests arrive at any moment of it, and the pass that generates the
#: first token. A pass takes ``steps_per_prefill`` decoding steps. Measured: 0.12 s with
#: 2 to 11 running requests.
PASSES_TO_FIRST_TOKEN = 1.5

#: Seconds for the network round trip, and for the prefill of other prompts that share
#: the pass.
FIRST_TOKEN_OVERHEAD = 0.02

#: Factor by which a request under load holds its slot longer than decoding alone takes,
#: since the prefill of other prompts interrupts it. If all 16 slots are always in use,
#: a third of an engine's time goes into prefill.
PREFILL_STRETCH = 1.4


def time_to_first_token(profile, *, load, prompt_tokens, pace=1.0, queue_share=1.0):
    """Return the expected time in which an engine generates the first token.

    Parameters
    ----------
    profile : EngineProfile
    load : int
        Requests already at the engine.
    prompt_tokens : int
    pace : float, default=1.0
        Factor by which the engine is slower than usual.
    queue_share : float, default=1.0
        Share of the waiting requests that the engine starts first.

    Returns
    -------
    float
        Seconds.
    """
    # Evaluated for every engine at each selection, so without calls for its parts.
    running = load if load < profile.slots else profile.slots
    pass_time = profile.steps_per_prefill * (
        profile.step + profile.step_per_request * running
    )
    prefill_seconds = prompt_tokens / profile.prefill_rate
    if profile.prefill_chunk and load > 0:
        prefill_seconds += prompt_tokens / profile.prefill_chunk * pass_time
    waiting = 0.0
    if load + 1 > profile.slots:
        queued = load - profile.slots
        ahead = queue_share * (queued if queued > 0 else 0) + min(queued + 1, 1)
        waiting = ahead * slot_release_interval(profile)
    return (
        pace * (waiting + PASSES_TO_FIRST_TOKEN * pass_time + prefill_seconds)
        + FIRST_TOKEN_OVERHEAD
    )


def expected_first_token(endpoint, profile, request, *, load, now, queue_share=1.0):
    """Return the expected time to first token of a request at an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    profile : EngineProfile
    request : PlacementRequest
    load : float
        Requests already at the endpoint.
    now : float
    queue_share : float, default=1.0
        Share of the waiting requests that the endpoint starts first.

    Returns
    -------
    float
        Seconds.
    """
    # The link delay counts here, since avoiding slow links doesn't help if weight
    # transfers fill all of them. Without it, requests that can't be on time would be
    # sent and reach engines after their callers had left.
    pace = endpoint.pace
    if endpoint.contention is not None:
        pace *= endpoint.contention.slowdown(now)
    return (
        endpoint.link_delay
        + endpoint.prefill_backlog.remaining(now)
        + time_to_first_token(
            profile,
            load=load,
            prompt_tokens=request.prompt_tokens,
            pace=pace,
            queue_share=queue_share,
        )
    )


def prefill_time(profile, prompt_tokens, *, load):
    """Return the time in which an engine of usual speed processes a prompt.

    Between two chunks of prompts the engine generates tokens for its other requests.
    Without this time, several requests that reach an engine at once are expected 0.4 s
    earlier than their first tokens come.

    Parameters
    ----------
    profile : EngineProfile
    prompt_tokens : float
    load : float
        Requests already at the engine.

    Returns
    -------
    float
        Seconds.
    """
    seconds = prompt_tokens / profile.prefill_rate
    if profile.prefill_chunk and load > 0:
        step = profile.step + profile.step_per_request * min(load, profile.slots)
        chunks = prompt_tokens / profile.prefill_chunk
        seconds += chunks * profile.steps_per_prefill * step
    return seconds


def slot_release_interval(profile):
    """Return the mean interval at which a full engine releases slots.

    Parameters
    ----------
    profile : EngineProfile

    Returns
    -------
    float
        Seconds.
    """
    step = profile.step + profile.step_per_request * profile.slots
    slot_time = profile.mean_answer_tokens * step * PREFILL_STRETCH
    slot_time += profile.mean_prompt_tokens / profile.prefill_rate
    return slot_time / profile.slots


def expected_response_time(endpoint, now):
    """Return the expected response time at an endpoint that has no engine.

    Parameters
    ----------
    endpoint : Endpoint
    now : float

    Returns
    -------
    float
        Seconds.
    """
    slots = max(1, endpoint.entry.slots)
    ahead = max(0, endpoint.load + 1 - slots)
    expected = endpoint.mean_response_time * (1 + ahead / slots)
    if endpoint.contention is None:
        return expected
    # The mean of the response times includes the usual contention.
    return expected * endpoint.contention.slowdown(now) / endpoint.contention.mean
