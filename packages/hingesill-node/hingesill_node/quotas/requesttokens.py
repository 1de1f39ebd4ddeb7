"""The tokens of one request under its organisation's quota."""

from msgspec import Struct

from hingesill_core.quotas.decision import QuotaStatus
from hingesill_core.reasons import Outcome, RefusalReason
from hingesill_core.routing.messages import Refusal

__all__ = ["NO_TOKENS", "NoTokens", "RequestTokens", "Token"]


class Token(Struct, frozen=True):
    """The permission for one request to arrive at an endpoint.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    expires_at : float
        Time until which it may be held before a send, in seconds of the node's clock.
    is_lent : bool
        The node that forwarded the request took it, and gives it back if it is not
        used.
    """

    organisation: str
    expires_at: float
    is_lent: bool = False


class NoTokens:
    """Tokens of a request without an organisation, which needs none."""

    def admit(self, organisation):
        """Return None: the request is accepted."""

    def is_ready(self, organisation):
        """Return whether a send needs no further token: always."""
        return True

    def take(self, organisation):
        """Return whether a further send is permitted: always."""
        return True

    def use(self, organisation):
        """Return whether a send may be written, and its token: None."""
        return True, None

    def recover(self, token):
        """Do nothing."""

    def release(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


NO_TOKENS = NoTokens()


class RequestTokens:
    """The token that a request holds for its next send.

    Parameters
    ----------
    gate : QuotaGate
        Gets and returns tokens.
    request_id : str
        For the log.

    Notes
    -----
    A send takes the held token when it is written to an endpoint. The token comes back
    if the endpoint did not run the request, and the next send uses it.

    The organisation is passed to each call, as it may change while the request waits.
    """

    def __init__(self, gate, request_id):
        self.gate = gate
        self.request_id = request_id
        self._held = None
        self._last_decision = None
        self._is_closed = False

    def borrow(self, organisation):
        """Hold the token that the node took which forwarded the request."""
        if organisation is not None and organisation.rate > 0:
            self._held = Token(organisation.name, float("inf"), is_lent=True)

    def admit(self, organisation):
        """Get the token of a request that no endpoint has run; may wait.

        Returns
        -------
        Refusal or None
            None if the request has a token or needs none.
        """
        started = self.gate.clock()
        if self._acquire(organisation, may_wait=True):
            return None
        decision = self._last_decision
        waited = self.gate.clock() - started
        self.gate.log_refusal(self.request_id, organisation, decision, waited)
        return Refusal(
            RefusalReason.QUOTA_EXCEEDED, Outcome.NOT_RUN, decision.retry_after
        )

    def is_ready(self, organisation):
        """Return whether the next send has a valid token or needs none."""
        if organisation is None or organisation.rate <= 0:
            return True
        held = self._held
        if held is None or held.organisation != organisation.name:
            return False
        return self.gate.clock() <= held.expires_at

    def take(self, organisation):
        """Return whether a further send is permitted; get its token without a wait."""
        return self._acquire(organisation, may_wait=False)

    def replace(self, token):
        """Hold an expired token, as the held one serves another request."""
        self._held = token

    def _acquire(self, organisation, may_wait):
        """Return whether the next send is permitted.

        Parameters
        ----------
        organisation : Organisation or None
            The request's organisation.
        may_wait : bool
            Whether the decision may take a message to another node.

        Notes
        -----
        A token that is still held after its time is not given back, see
        `QuotaGate.expire_tokens`: it would be exchanged for another one at once, and
        the time for which tokens are held had no limit.
        """
        if self.is_ready(organisation):
            return True
        if self._is_closed:
            return False
        name = organisation.name
        expired = None
        if self._held is not None and self._held.organisation == name:
            expired, self._held = self._held, None
        self.release()
        if expired is not None:
            self._held = self.gate.exchange_token(name, expired)
            if self._held is not None:
                return True
            self.gate.labels.add(name, "expired")
        decision = self.gate.acquire(organisation.name, may_wait)
        self._last_decision = decision
        if decision.status is not QuotaStatus.ADMITTED:
            return False
        expires_at = self.gate.clock() + self.gate.get_max_age(organisation)
        self._held = Token(organisation.name, expires_at)
        if self._is_closed:
            self.release()
        else:
            self.gate.watch_token(self, self._held)
        return True

    def holds(self, token):
        """Return whether the request holds this token and no send has taken it."""
        return self._held is token

    def use(self, organisation):
        """Take the token of a send that is about to be written.

        Returns
        -------
        tuple
            Whether the send is permitted, and its Token; None if it needs none.
        """
        if not self._acquire(organisation, may_wait=False):
            return False, None
        if organisation is None or organisation.rate <= 0:
            return True, None
        token, self._held = self._held, None
        return True, token

    def recover(self, token):
        """Keep a token that the endpoint of its send did not use, or give it back."""
        if token is None:
            return
        is_valid = self.gate.clock() <= token.expires_at
        if is_valid and self._held is None and not self._is_closed:
            self._held = token
        elif not token.is_lent:
            self.gate.give_back(token.organisation)

    def release(self):
        """Give back the held token."""
        token, self._held = self._held, None
        if token is not None and not token.is_lent:
            self.gate.give_back(token.organisation)

    def close(self):
        """Give back the held token; there are no further sends."""
        self._is_closed = True
        self.release()
