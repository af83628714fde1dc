"""Pass messages of other instances to what handles them."""

from collections.abc import Callable

from sassafrasflow.admission import share_messages
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import followers
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import quarantine as quarantines
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import rollout_manager
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import verdicts
from sassafrasflow.lending import messages as lending_messages
from sassafrasflow.rechecks import messages as recheck_messages

__all__ = ["MessageRouter"]


class MessageRouter:
    """Handle the messages that the exchange itself does not."""

    def __init__(
        self,
        settings: followers.SettingsFollower,
        target_follower: followers.TargetFollower,
        rollout: rollout_manager.RolloutManager,
        quarantine: quarantines.QuarantineManager,
        access: accesses.TargetAccess,
        on_beat: Callable[[peer_table.Beat], None],
        on_settings_query: Callable[[relays.SettingsQuery], None],
    ) -> None:
        self._settings = settings
        self._target_follower = target_follower
        self._rollouts = rollout
        self._quarantine = quarantine
        self._access = access
        self._on_beat = on_beat
        self._on_settings_query = on_settings_query

    def handle(self, message: exchanges.Message) -> None:
        """Handle one message."""
        if isinstance(message, peer_table.Beat):
            self._on_beat(message)
        elif isinstance(message, relays.SettingsQuery):
            self._on_settings_query(message)
        elif isinstance(message, relays.Relay):
            self._target_follower.handle_relay(message)
            self._settings.handle_revision(
                message.settings_revision, message.settings_era
            )
        elif isinstance(message, relays.SettingsPart):
            self._settings.handle_part(message)
        elif isinstance(message, rollouts.News):
            self._rollouts.handle_news(message)
        elif isinstance(message, trials.Report):
            self._rollouts.handle_report(message)
        elif isinstance(message, loads.LeavingNotice):
            self._access.announcements.handle_leaving(message)
        elif isinstance(message, verdicts.DeathReport):
            self._quarantine.handle_report(message)
        elif isinstance(message, verdicts.PartCrashReport):
            self._quarantine.parts.handle_report(message)
        elif isinstance(message, verdicts.QuarantineNotice):
            self._quarantine.handle_notice(message)
        elif isinstance(message, verdicts.QuarantineQuery):
            self._quarantine.handle_query(message)
        elif isinstance(message, verdicts.QuarantineState):
            self._quarantine.handle_state(message)
        elif isinstance(message, recheck_messages.RecheckNotice):
            self._quarantine.rechecks.handle_notice(message)
        elif isinstance(message, lending_messages.LoanMessage):
            self._access.lending.handle(message)
        elif isinstance(message, share_messages.ShareMessage):
            self._access.shares.handle(message)
