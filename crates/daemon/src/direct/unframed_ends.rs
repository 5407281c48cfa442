//! Whether a response with neither a length nor chunks is complete. The end of its connection does not
//! show it: the connections of a replica that ends are closed too.

use super::{Shared, trials::Trial};
use crate::{
    clock::since_boot,
    crash_check::{CrashCheckResult, check_for_crash},
};
use async_std::task;
use derive_more::Display;
use futures_lite::FutureExt;
use ibissail_core::{InstanceId, Millis, ZoneId};
use ibissail_direct::RunHash;
use ibissail_http1::Connection;
use slog::info;
use std::time::Duration;

/// Interval at which a replica that is being checked is looked up for later responses.
const RESPONSE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What is known of a replica right after a response ended with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum UnframedEnd {
    /// It has begun to answer a request that was sent after the end.
    #[display("the replica has answered since")]
    Answering,
    /// It accepts connections.
    #[display("the replica accepts connections")]
    Accepting,
    /// It refuses connections.
    #[display("the replica ended with the connection")]
    Refusing,
    /// It does not respond, like a machine that is gone.
    #[display("the replica is unreachable")]
    Unreachable,
    /// It may not be connected to.
    #[display("the replica was not checked, its zone is evacuated")]
    Withheld,
    /// It has reset the connection behind the end, as it does if it does not read the request whole.
    #[display("the replica has reset the connection")]
    Reset,
}

impl UnframedEnd {
    /// Whether the response is complete. Only a replica that is seen to run proves it.
    pub(super) fn is_complete(self) -> bool {
        match self {
            Self::Answering | Self::Accepting => true,
            Self::Refusing | Self::Unreachable | Self::Withheld | Self::Reset => false,
        }
    }
}

impl Shared {
    /// Waits until a run of a replica begins to answer a request that was sent after `ended_at`.
    async fn wait_for_answer(
        &self,
        replica: &InstanceId,
        run: RunHash,
        ended_at: Millis,
    ) -> UnframedEnd {
        loop {
            let answered = self.state().loads.get(replica).and_then(|load| load.answered);
            if answered.is_some_and(|(other, sent_at)| other == run && sent_at > ended_at) {
                return UnframedEnd::Answering;
            }
            task::sleep(RESPONSE_CHECK_INTERVAL).await;
        }
    }

    fn is_zone_evacuated(&self, zone: &ZoneId) -> bool {
        self.state().is_evacuated(zone)
    }
}

impl Trial {
    /// Checks the replica at the end of an unframed response to this request, whatever it is listed
    /// as, and then the connection of the response: by that time a reset because of bytes of the
    /// request that were on their way has arrived.
    pub(super) async fn check_unframed_end(
        &self,
        id: &str,
        connection: &Connection,
    ) -> UnframedEnd {
        let ended_at = since_boot();
        let answering = self.shared.wait_for_answer(&self.replica, self.lost.run, ended_at);
        let connecting = async {
            // An evacuated zone may also lose its power.
            if self.shared.is_zone_evacuated(&self.zone) {
                return UnframedEnd::Withheld;
            }
            match check_for_crash(self.address).await {
                CrashCheckResult::Running => UnframedEnd::Accepting,
                CrashCheckResult::Ended => UnframedEnd::Refusing,
                CrashCheckResult::Unreachable => UnframedEnd::Unreachable,
            }
        };
        let end = match answering.or(connecting).await {
            _ if connection.has_failed() => UnframedEnd::Reset,
            end => end,
        };
        info!(self.shared.log, "attempt: unframed end checked"; "id" => id,
            "replica" => %self.replica, "result" => %end, "is_complete" => end.is_complete(),
            "took_ms" => since_boot().since(ended_at).0);
        end
    }
}
