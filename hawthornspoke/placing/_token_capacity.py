"""Whether an engine has memory for the tokens of one more request."""


def has_token_capacity(endpoint, engine, request):
    """Return whether a request keeps an engine within its capacity for tokens.

    An engine beyond it preempts requests or crashes. Only this host's requests are
    known by their tokens; those of other hosts count as its own do on average, or as
    usual ones if it has none there.

    Parameters
    ----------
    endpoint : Endpoint
    engine : EngineProfile
    request : PlacementRequest

    Returns
    -------
    bool
    """
    if not engine.token_capacity:
        return True
    tokens = request.prompt_tokens + request.answer_tokens
    return estimated_tokens(endpoint, engine) + tokens <= engine.token_capacity


def estimated_tokens(endpoint, engine):
    """Return the estimated tokens of all requests at an endpoint."""
    others = endpoint.load - endpoint.own_in_flight
    if endpoint.own_in_flight:
        mean = endpoint.own_tokens / endpoint.own_in_flight
    else:
        mean = engine.mean_prompt_tokens + engine.mean_answer_tokens
    return endpoint.own_tokens + others * mean
