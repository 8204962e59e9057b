//! The catalogue of log events.

use log::Level;

/// Log target of all numbered events.
pub const TARGET: &str = "cyclamengrade";

/// Declares the events once, so that number, level, name and text stay together.
macro_rules! catalogue {
    ($($(#[doc = $doc:literal])+ $number:literal $level:ident $event:ident $name:literal $text:literal,)+) => {
        /// A numbered event. Numbers are never used again for another meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[doc = $doc])+ $event,)+
        }

        impl Event {
            /// All events in order of number.
            pub const ALL: &[Self] = &[$(Self::$event),+];

            /// Number in the catalogue.
            pub const fn number(self) -> u32 {
                match self { $(Self::$event => $number),+ }
            }

            /// Severity.
            pub const fn level(self) -> Level {
                match self { $(Self::$event => Level::$level),+ }
            }

            /// Stable name for searches.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$event => $name),+ }
            }

            /// What the event means and which fields it has, as the catalogue page shows it.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$event => concat!($($doc),+)),+ }
            }

            /// Message of the log line.
            pub const fn text(self) -> &'static str {
                match self { $(Self::$event => $text),+ }
            }
        }
    };
}

catalogue! {
    /// A daemon process began to start. Fields: `daemon`, `version`.
    100 Info Starting "daemon_starting" "daemon is starting",
    /// The daemon takes requests. Fields: `daemon`, `revision`.
    101 Info Ready "daemon_ready" "daemon is ready for requests",
    /// The daemon begins a planned stop. Fields: `daemon`.
    102 Info Leaving "daemon_leaving" "daemon is leaving: the readiness probe fails from now on",
    /// The daemon finishes requests in flight.
    103 Info DrainStarted "drain_started" "daemon finishes the requests in flight and accepts none",
    /// Nothing is in flight any more, or the time for it has passed.
    104 Info DrainFinished "drain_finished" "graceful shutdown has ended",
    /// The process ends. Fields: `daemon`.
    105 Info Stopped "daemon_stopped" "daemon has stopped",
    /// A part of the daemon failed for a reason outside of the other events. Fields: `error`.
    106 Error InternalFault "internal_fault" "a part of the daemon failed",

    /// A configuration revision is in force at this daemon. Fields: `revision`, `digest`.
    200 Info ConfigurationInForce "configuration_in_force" "configuration revision is in force",
    /// A submitted configuration was refused. Fields: `reason`, `author`, `change_id`.
    201 Warn ConfigurationRefused "configuration_refused" "configuration was refused",
    /// A stored revision cannot be used; the last one stays in force. Fields: `revision`, `error`.
    202 Error ConfigurationUnusable "configuration_unusable" "stored configuration revision cannot be used",

    /// Calls to a platform service fail. Fields: `service`, `error`.
    300 Warn PlatformUnreachable "platform_unreachable" "platform service is unreachable",
    /// Calls to a platform service succeed again. Fields: `service`, `elapsed_ms`.
    301 Info PlatformBack "platform_back" "platform service is back",

    /// Another daemon was seen for the first time or again. Fields: `member`.
    400 Info MemberJoined "member_joined" "another daemon joined",
    /// Another daemon did not answer direct and indirect probes. Fields: `member`.
    401 Warn MemberSuspected "member_suspected" "another daemon does not answer probes",
    /// A suspected daemon counts as gone. Fields: `member`.
    402 Warn MemberGone "member_gone" "another daemon counts as gone",
    /// Another daemon announced that it leaves. Fields: `member`.
    403 Info MemberLeaving "member_leaving" "another daemon is leaving",

    /// An upstream was added to a deployment. Fields: `upstream`, `deployment`.
    500 Info UpstreamAdded "upstream_added" "upstream was added",
    /// An upstream is slow or silent and gets no regular work. Fields: `upstream`, `deployment`.
    501 Warn UpstreamEjected "upstream_ejected" "upstream was ejected because it is slower than its peers",
    /// An ejected upstream gets regular work again. Fields: `upstream`, `deployment`.
    502 Info UpstreamReadmitted "upstream_readmitted" "upstream was readmitted",
    /// An upstream gets no new work because it leaves. Fields: `upstream`, `deployment`.
    503 Info UpstreamLeaving "upstream_leaving" "upstream is leaving and gets no new work",
    /// Connections or load reports of an upstream fail. Fields: `upstream`, `deployment`, `error`.
    504 Warn UpstreamUnreachable "upstream_unreachable" "upstream is unreachable",
    /// An upstream left the list of vms. Fields: `upstream`, `deployment`.
    505 Info UpstreamRemoved "upstream_removed" "upstream was removed",

    /// A request was refused before it ran. Fields: `client`, `deployment`, `kind`, `retry_after_ms`.
    600 Debug RequestRefused "request_refused" "request was refused and did not run",
    /// A request ran and no further attempt is allowed. Fields: `client`, `deployment`, `kind`.
    601 Warn RequestGivenUp "request_given_up" "request was given up",
    /// A stream continued on a fresh connection. Fields: `upstream`, `received`.
    602 Info StreamResumed "stream_resumed" "stream was resumed on a fresh connection",
    /// Retries and hedges of a deployment stop until successes refill the budget. Fields:
    /// `deployment`.
    603 Warn RetryBudgetExhausted "retry_budget_exhausted" "retry budget is exhausted",

    /// A batch job was stored. Fields: `job`, `client`, `deployment`, `items`.
    700 Info JobAccepted "job_accepted" "batch job was accepted",
    /// Every item of a job has a result. Fields: `job`, `succeeded`, `failed`.
    701 Info JobCompleted "job_completed" "batch job is complete",
    /// A job was cancelled. Fields: `job`, `client`.
    702 Info JobCancelled "job_cancelled" "batch job was cancelled",
    /// This daemon claimed a chunk. Fields: `job`, `chunk`, `fence`.
    703 Debug ChunkClaimed "chunk_claimed" "chunk was claimed",
    /// This daemon took over a chunk whose holder is gone. Fields: `job`, `chunk`, `fence`, `holder`.
    704 Warn ChunkTakenOver "chunk_taken_over" "chunk was taken over because the lease of its holder ended",
    /// The results of a chunk are stored. Fields: `job`, `chunk`.
    705 Debug ChunkCommitted "chunk_committed" "chunk was committed",
    /// The chunk belongs to another daemon or the job ended. Fields: `job`, `chunk`.
    706 Warn ChunkCommitLost "chunk_commit_lost" "results of a chunk were dropped because the chunk has another holder or the job ended",
    /// An item ended as failed. Fields: `job`, `item`, `attempts`, `error`.
    707 Warn ItemFailed "item_failed" "batch item ended as failed",

    /// A renewal took longer than a third of the lease. Fields: `elapsed_ms`.
    800 Warn LeaseRenewedLate "lease_renewed_late" "lease was renewed late",
    /// The lease ended before a renewal; exclusive work stops. Fields: `elapsed_ms`.
    801 Error LeaseLost "lease_lost" "lease was lost and exclusive work stopped",

    /// A non-idempotent request may or may not have run. Fields: `client`, `key`.
    900 Error ClaimOutcomeUnknown "claim_outcome_unknown" "whether a non-idempotent request ran is not known",

    /// An order was sent to an upstream. Fields: `upstream`, `fence`, `wanted`.
    1000 Info OrderSent "order_sent" "order was sent to an upstream",
    /// An upstream refused an order. Fields: `upstream`, `fence`, `error`.
    1001 Warn OrderRefused "order_refused" "upstream refused an order",

    /// A sampled trace span ended. Fields: `span`, `trace_id`, `span_id`, `parent_span_id`,
    /// `duration_us` and the attributes of the span.
    1100 Info SpanEnded "span_ended" "trace span ended",
}

/// Logs a numbered event with key-value fields.
///
/// Values are numbers, booleans and strings; `key:% = value` takes any `Display` value.
///
/// ```
/// use cyclamengrade_telemetry::event;
///
/// event!(ConfigurationInForce, revision = 7, digest = "9f0c");
/// event!(MemberGone, member:% = "vm-3");
/// ```
#[macro_export]
macro_rules! event {
    ($event:ident) => {{
        let event = $crate::event::Event::$event;
        $crate::log::log!(
            target: $crate::event::TARGET, event.level(),
            event = event.number(), name = event.name(); "{}", event.text()
        )
    }};
    ($event:ident, $($fields:tt)+) => {{
        let event = $crate::event::Event::$event;
        $crate::log::log!(
            target: $crate::event::TARGET, event.level(),
            event = event.number(), name = event.name(), $($fields)+; "{}", event.text()
        )
    }};
}
