"""Admission checks of requests: on arrival, and again before each send."""

from dataclasses import replace

from hawthornspoke.base import Failure, monotonic
from hawthornspoke.catalog import RouteTable, allowed_regions
from hawthornspoke.httpio import EndCause
from hawthornspoke.placing import PlacementRecheck, Rejection
from hawthornspoke.relay._refusal import Refusal

#: Retry-After in seconds while this host has no configuration yet, or can't confirm
#: that a key is still valid: about the duration of a short outage of the platform.
UNCONFIRMED_RETRY_AFTER = 0.5

#: Retry-After in seconds if the route or key changed while a request was handled. It is
#: short, since this host already has the new configuration to judge the retry by.
CHANGED_RETRY_AFTER = 0.05

CALLER_LEFT = Failure(code="caller_left")
DEADLINE_PASSED = Failure(code="deadline_passed")
KEY_NOT_CONFIRMED = Failure(
    code="key_not_confirmed", retry_after=UNCONFIRMED_RETRY_AFTER
)
CONFIGURATION_CHANGED = Failure(code="configuration_changed")

#: The request can't be sent to this endpoint, but may be sent to another one.
ENDPOINT_CHANGED = Failure(code="endpoint_changed")


class Admission:
    """Holds the active configuration and decides whether requests are admitted.

    Parameters
    ----------
    header_names : HeaderNames
    fleet : Fleet
    contact : PlatformContact
    suspects : PoisonRequestTracker
    shutdown : Shutdown
    clock : callable
        Clock of request deadlines; includes the time for which the host is suspended.
    """

    __slots__ = (
        "catalog",
        "clock",
        "_routes",
        "_header_names",
        "_fleet",
        "_contact",
        "_suspects",
        "_shutdown",
    )

    def __init__(self, *, header_names, fleet, contact, suspects, shutdown, clock):
        self.catalog = None
        self.clock = clock
        self._routes = None
        self._header_names = header_names
        self._fleet = fleet
        self._contact = contact
        self._suspects = suspects
        self._shutdown = shutdown

    def set_catalog(self, catalog):
        """Activate a configuration.

        The previous one isn't modified: requests that are being handled refer to it.
        """
        self._routes = RouteTable(routes=catalog.routes)
        self.catalog = catalog

    def contact_age(self):
        """Return the age of the last platform confirmation, None before the first."""
        return self._contact.age(now=self.clock())

    def identify(self, context):
        """Find a request's route and organisation, and the regions that both allow.

        Parameters
        ----------
        context : RequestContext
            Receives them.

        Returns
        -------
        None or Refusal
        """
        context.catalog = self.catalog
        context.route = self._find_route(context)
        if context.route is None:
            return self._deny(404, "no_route")
        context.allowed_regions = self._allowed_regions(context, context.route)
        if not self._needs_key(context, context.route):
            return None
        context.organisation = self._find_organisation(context)
        if context.organisation is None:
            return self._deny(401, "unknown_key")
        if not self._contact.keys_trusted(now=self.clock()):
            return _not_confirmed("key")
        return None

    def recheck(self, context, *, placement_request, placement):
        """Check whether a request may still be sent to its selected endpoint.

        The process may have stalled, or waited for a connection, since the endpoint was
        selected. The task then resumes before the event loop has processed the
        caller's disconnect, the deadline timer or the loss of contact with the
        platform, and an endpoint would run a request that is abandoned or no longer
        allowed. So this is called directly before the bytes are written, without an
        await in between, and checks the conditions that change fastest last.

        Parameters
        ----------
        context : RequestContext
            Its ``rejection`` is set if it isn't sent to any endpoint from now on.
        placement_request : PlacementRequest
            The request for this selection, with the remaining times as of now.
        placement : Placement
            The selection to check.

        Returns
        -------
        Placement or Failure
            The updated placement; ``ENDPOINT_CHANGED`` if another endpoint may be
            used.
        """
        failure = self._check_configuration(context)
        if failure is None:
            failure = self._suspects.refusal(context.features)
        if failure is None:
            failure = self._shutdown.failure(context, placement)
            if failure is not None and context.sent:
                # Another endpoint may be fast enough for a later attempt.
                return failure
        if failure is None:
            # The regions may be those of a newer configuration now.
            message = PlacementRecheck(
                placement_request=replace(
                    placement_request, allowed_regions=context.allowed_regions
                ),
                selected=placement,
            )
            (decision,) = self._fleet.step(message, now=monotonic())
            if isinstance(decision, Rejection):
                return ENDPOINT_CHANGED.with_reason(decision.reason)
            failure = self._check_caller(context)
        if failure is None:
            return decision
        context.rejection = failure
        context.retry_after = failure.retry_after
        return failure

    def _check_caller(self, context):
        if context.reply.caller_gone():
            return CALLER_LEFT
        if self.clock() >= context.deadline:
            return DEADLINE_PASSED
        return None

    def _check_configuration(self, context):
        """Return a Failure if the current configuration doesn't allow a request."""
        has_key = context.organisation is not None
        if has_key and not self._contact.keys_trusted(now=self.clock()):
            return KEY_NOT_CONFIRMED
        if context.catalog is self.catalog:
            return None
        route = self._find_route(context)
        if context.sent:
            failure = self._check_sent(context, route)
        else:
            failure = self._check_unsent(context, route)
        if failure is None:
            context.catalog = self.catalog
        return failure

    def _check_sent(self, context, route):
        """Check whether a request that was sent may be sent again, or resumed.

        It goes on under the configuration that admitted it, on its service, unless the
        current one takes away a permission.
        """
        if context.organisation is not None:
            organisation = self._find_organisation(context)
            if _name_of(organisation) != _name_of(context.organisation):
                return _configuration_changed(
                    "key" if organisation is None else "organisation"
                )
        if route is not None and context.route.repeatable and not route.repeatable:
            return _configuration_changed("route")
        context.allowed_regions = _common_regions(
            context.allowed_regions, self._allowed_regions(context, route)
        )
        return None

    def _check_unsent(self, context, route):
        """Check whether the current configuration admits a request in the same way."""
        if route is None or route.kind != context.route.kind:
            return _configuration_changed("route")
        if not any(item.service == context.service for item in route.shares):
            return _configuration_changed(f"service {context.service}")
        organisation = None
        if self._needs_key(context, route):
            organisation = self._find_organisation(context)
            if organisation is None:
                return _configuration_changed("key")
        if _name_of(organisation) != _name_of(context.organisation):
            return _configuration_changed("organisation")
        context.allowed_regions = self._allowed_regions(context, route)
        return None

    def _find_route(self, context):
        request = context.request
        return self._routes.find(host=request.get("host", ""), target=request.target)

    def _sent_key(self, context):
        return context.request.get(self._header_names.key, "")

    def _find_organisation(self, context):
        # A request without a key has no owner, even if an empty key is configured.
        key = self._sent_key(context)
        return self.catalog.organisation_by_key.get(key) if key else None

    def _allowed_regions(self, context, route):
        # A key that a public route doesn't need still names the owner of the request.
        return allowed_regions(route, self._find_organisation(context))

    def _needs_key(self, context, route):
        # A key that is sent must be valid even if none is required: it may have been
        # revoked together with all others.
        if route.public:
            return False
        return self.catalog.requires_key or bool(self._sent_key(context))

    def _deny(self, status, reason):
        """Return a Refusal: permanent, or temporary if the catalog may be stale."""
        if self._contact.may_reject(now=self.clock()):
            return Refusal(status=status, reason=reason, cause=EndCause.CALLER)
        return _not_confirmed(reason)


def _not_confirmed(part):
    return Refusal(
        status=503,
        reason=f"{part}_not_confirmed",
        cause=EndCause.CONFIGURATION,
        retry_after=UNCONFIRMED_RETRY_AFTER,
    )


def _configuration_changed(part):
    return CONFIGURATION_CHANGED.with_reason(part, retry_after=CHANGED_RETRY_AFTER)


def _common_regions(first, second):
    """Return the regions that two restrictions allow; None doesn't restrict."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def _name_of(organisation):
    return None if organisation is None else organisation.name
