//! What plans do to relays, upstreams and the store, and which of it each profile chooses from.

use std::ops::Range;

/// What a plan does to the system, in one or several steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disturbance {
    Kill,
    KillMany,
    KillAll,
    Terminate,
    TerminateInTurn,
    Pause,
    PauseMany,
    Replace,
    Crash,
    CrashDataCentre,
    Upstream,
    Service,
    StoreRefuses,
    StoreSilent,
    RepliesLost,
    LateTransactions,
    Configuration,
    Listing,
    /// Upstreams of one software version leave while those of the other one join, and back.
    Rollout,
    /// Relays lose their links to all upstreams.
    Cut,
    /// All relays but one are lost for seconds.
    KillMost,
    /// The batch route is missing from one version of the configuration.
    MissingRoute,
    /// An upstream leaves and starts again while the store refuses.
    Release,
    /// An upstream sends an event without end.
    Endless,
    /// An upstream is quiet in some of its responses and goes on.
    Quiet,
    /// All upstreams are quiet at the same time.
    QuietAll,
    /// The upstream of plain responses is quiet.
    QuietService,
    /// A relay gets no processor time for about a second, or several do.
    Stop,
    StopMany,
    /// A relay gets a fifth of the processor time for a second.
    Quota,
    /// The streams are another service's for a time.
    Move,
    /// An account gets a further key.
    AddedKey,
    /// An account gets another key in place of all of its own.
    ReplacedKeys,
    /// An account has no key for a time.
    RemovedKeys,
    /// The store refuses the calls of some relays.
    Refused,
    /// The owner of a quota is killed.
    OwnerKilled,
    /// The owner of a quota gets no processor time.
    OwnerPaused,
    /// All relays are terminated one after the other.
    RollingRestart,
    /// The configuration has routes that cannot be read for a time.
    OddRoutes,
    /// An upstream states an idle timeout out of range.
    OddNumber,
    /// The upstream of plain responses runs a request and answers with a status that is none, or that says
    /// nothing of runs.
    OddStatus,
}

/// Disturbances of a quiet plan, each series with the range of times between two of them in milliseconds.
pub(super) const QUIET_SERIES: [(&[Disturbance], Range<u64>); 4] = [
    (&[Disturbance::Quiet, Disturbance::Quiet, Disturbance::Quiet, Disturbance::QuietAll], 40..250),
    (&[Disturbance::QuietService], 40..300),
    (
        &[Disturbance::Stop, Disturbance::Stop, Disturbance::StopMany, Disturbance::Quota],
        300..1_500,
    ),
    (
        &[
            Disturbance::Configuration,
            Disturbance::Move,
            Disturbance::Rollout,
            Disturbance::Listing,
        ],
        100..600,
    ),
];
/// Disturbances of a plan with accounts, as in [`QUIET_SERIES`].
pub(super) const ACCOUNT_SERIES: [(&[Disturbance], Range<u64>); 4] = [
    (
        &[
            Disturbance::ReplacedKeys,
            Disturbance::ReplacedKeys,
            Disturbance::RemovedKeys,
            Disturbance::AddedKey,
        ],
        200..1_200,
    ),
    (&[Disturbance::Refused], 300..2_000),
    (&[Disturbance::OwnerKilled, Disturbance::OwnerPaused], 1_500..5_000),
    (
        &[
            Disturbance::Kill,
            Disturbance::Terminate,
            Disturbance::Pause,
            Disturbance::PauseMany,
            Disturbance::Replace,
            Disturbance::Crash,
            Disturbance::Upstream,
            Disturbance::StoreRefuses,
            Disturbance::RepliesLost,
            Disturbance::Configuration,
        ],
        300..1_500,
    ),
];
/// Disturbances that are added to the plan of a seed by a generator of their own.
pub(super) const ADDED: [Disturbance; 4] =
    [Disturbance::KillMost, Disturbance::MissingRoute, Disturbance::Release, Disturbance::Endless];

/// The same, of another generator: configurations, numbers and statuses that peers do not expect.
pub(super) const ODD: [Disturbance; 3] =
    [Disturbance::OddRoutes, Disturbance::OddNumber, Disturbance::OddStatus];

/// All disturbances but cuts of links, with the share of each.
pub(super) const SHARES: [(Disturbance, u32); 19] = [
    (Disturbance::Kill, 8),
    (Disturbance::KillMany, 3),
    (Disturbance::KillAll, 2),
    (Disturbance::Terminate, 6),
    (Disturbance::TerminateInTurn, 3),
    (Disturbance::Pause, 6),
    (Disturbance::PauseMany, 3),
    (Disturbance::Replace, 5),
    (Disturbance::Crash, 8),
    (Disturbance::CrashDataCentre, 3),
    (Disturbance::Upstream, 24),
    (Disturbance::Service, 8),
    (Disturbance::StoreRefuses, 5),
    (Disturbance::StoreSilent, 2),
    (Disturbance::RepliesLost, 5),
    (Disturbance::LateTransactions, 2),
    (Disturbance::Configuration, 4),
    (Disturbance::Listing, 6),
    (Disturbance::Rollout, 6),
];
