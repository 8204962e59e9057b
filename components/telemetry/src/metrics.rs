//! Declarations of all metrics, and the recorder that renders them in the Prometheus text format.
//!
//! The descriptions are shown to operators.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};
use metrics_exporter_prometheus::{BuildError, Matcher, PrometheusBuilder, PrometheusHandle};

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A count that never decreases.
    Counter,
    /// A value that can go up and down.
    Gauge,
    /// A distribution over the buckets of [`BUCKET_BOUNDS_S`].
    Histogram,
}

impl Kind {
    /// Returns the name of the kind as the metrics page shows it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// A declared metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Metric {
    pub name: &'static str,
    pub kind: Kind,
    pub unit: Unit,
    /// Names of the labels, separated by a comma and a space; empty for a metric without labels.
    pub labels: &'static str,
    /// What the metric measures, as shown to operators.
    pub description: &'static str,
}

/// Declares a constant for the name of each metric and the table of all metrics.
///
/// A constant is named after its metric, without the suffix `_total`.
macro_rules! declare {
    ($($constant:ident $name:literal $kind:ident $unit:ident $labels:literal $description:literal,)+) => {
        $(#[doc = $description] pub const $constant: &str = $name;)+

        /// All metrics, in the order of the metrics page.
        pub const ALL: &[Metric] = &[$(Metric {
            name: $constant,
            kind: Kind::$kind,
            unit: Unit::$unit,
            labels: $labels,
            description: $description,
        }),+];

        /// Names of the constants, in the order of [`ALL`]; a test searches the sources for them.
        pub const CONSTANTS: &[&str] = &[$(stringify!($constant)),+];
    };
}

declare! {
    REQUESTS "requests_total" Counter Count "deployment, outcome"
        "Online requests that ended, by outcome: ok or the kind of the error.",
    REQUESTS_IN_FLIGHT "requests_in_flight" Gauge Count "deployment"
        "Online requests that are waiting or running.",
    REQUESTS_QUEUED "requests_queued" Gauge Count "deployment"
        "Online requests that are waiting for an upstream.",
    FIRST_TOKEN_SECONDS "first_token_seconds" Histogram Seconds "deployment"
        "Time from the arrival of an online request to its first token.",
    BETWEEN_TOKENS_SECONDS "between_tokens_seconds" Histogram Seconds "deployment"
        "Mean time between consecutive tokens of an online answer.",
    REQUEST_SECONDS "request_seconds" Histogram Seconds "deployment"
        "Time from the arrival of an online request to its end.",
    REFUSALS "refusals_total" Counter Count "deployment, kind"
        "Online requests that were refused before they ran.",
    ATTEMPTS "attempts_total" Counter Count "deployment, reason"
        "Attempts at upstreams, by reason: first, retry, hedge or resume.",
    RETRY_BUDGET "retry_budget" Gauge Count "deployment"
        "Retries and hedges that the retry budget still allows.",
    UPSTREAMS "upstreams" Gauge Count "deployment, state"
        "Upstreams, by state as seen by this daemon.",
    EJECTIONS "ejections_total" Counter Count "deployment"
        "Upstreams that were ejected because they were slow or silent.",
    CONNECTIONS_SILENT "connections_silent_total" Counter Count "deployment"
        "Upstream connections that were closed because no data arrived on them.",
    LOAD_REPORTS "load_reports_total" Counter Count "outcome"
        "Load reports read from upstreams, by outcome: ok or error.",
    CACHE_EVENTS_LOST "cache_events_lost_total" Counter Count ""
        "Cache events that this daemon never received, counted from gaps in the numbers that \
         upstreams give them.",
    BATCH_STREAMS "batch_streams" Gauge Count "deployment"
        "Batch streams that are open at this daemon.",
    BATCH_STREAM_LIMIT "batch_stream_limit" Gauge Count "deployment"
        "Batch streams that may be open at this daemon at the same time.",
    BATCH_PAUSES "batch_pauses_total" Counter Count "deployment"
        "Batch streams that were paused because their limit fell, as it does when online work needs \
         the capacity.",
    BATCH_ITEMS "batch_items_total" Counter Count "deployment, outcome"
        "Batch items that ended, by outcome: succeeded or failed.",
    JOBS "jobs_total" Counter Count "state"
        "Batch jobs that this daemon accepted, completed or cancelled.",
    CHUNKS "chunks_total" Counter Count "outcome"
        "Chunks, by outcome: claimed, taken_over, committed or lost.",
    CLAIMS "claims_total" Counter Count "outcome"
        "Claims of non-idempotent requests, by outcome: ok, failed (did not run), outcome_unknown or \
         repeated (an earlier request has the same key).",
    ORDERS "orders_total" Counter Count "outcome"
        "Orders to upstreams, by outcome: sent or refused.",
    PLATFORM_CALLS "platform_calls_total" Counter Count "service, operation, outcome"
        "Calls to the platform, by service, operation and outcome.",
    PLATFORM_CALL_SECONDS "platform_call_seconds" Histogram Seconds "service, operation"
        "Duration of calls to the platform.",
    LEASE_RENEWALS "lease_renewals_total" Counter Count "outcome"
        "Renewals of this daemon's lease, by outcome: ok, late, failed or lost.",
    RELAY_REQUESTS "relay_requests_total" Counter Count "kind, outcome"
        "Requests to a relay, by outcome: served, refused, failed, broken or left.",
    RELAY_FIRST_BYTE_SECONDS "relay_first_byte_seconds" Histogram Seconds "kind"
        "Time from the arrival of a request at a relay to the first byte or event of its answer.",
    RELAY_REQUEST_SECONDS "relay_request_seconds" Histogram Seconds "kind"
        "Time from the arrival of a request at a relay to the end of its answer.",
    RELAY_ATTEMPTS "relay_attempts_total" Counter Count "outcome"
        "Attempts of a relay at upstreams, by outcome: ok, not_sent, not_run, misdirected, broken or \
         silent.",
    RELAY_PLACEMENTS "relay_placements_total" Counter Count "outcome"
        "Choices of an upstream for online requests: granted by a broker, refused, or made alone \
         because no broker answered.",
    RELAY_QUOTA_REQUESTS "relay_quota_requests_total" Counter Count "account, outcome"
        "Requests of client accounts with a quota, by outcome: admitted or rejected. Accounts beyond the \
         first hundred of a relay count together as other.",
    RELAY_QUOTA_ASKS "relay_quota_asks_total" Counter Count ""
        "Requests of a relay to the owners of quotas for tokens, without repeated ones.",
    RELAY_QUOTA_OWNERS_UNRESPONSIVE "relay_quota_owners_unresponsive_total" Counter Count ""
        "Requests to the owners of quotas that were not answered in time.",
    RELAY_QUOTA_CLAIMS "relay_quota_claims_total" Counter Count ""
        "Accounts that a relay claimed before it granted tokens of their quotas.",
    RELAY_QUOTA_YIELDS "relay_quota_yields_total" Counter Count ""
        "Accounts that a relay left to another one, which claimed them.",
    RELAY_QUOTA_SHARES "relay_quota_shares_total" Counter Count "outcome"
        "Requests that a relay decided by itself because no owner of the quota answered, by outcome: \
         admitted or rejected.",
    RELAY_CONNECTIONS_OPENED "relay_connections_opened_total" Counter Count ""
        "Connections that a relay opened to upstreams.",
    RELAY_PAUSE_SECONDS "relay_pause_seconds" Histogram Seconds ""
        "Times for which a relay got no processor time, beyond those that a quota explains.",
    RELAY_LINKS_LOST "relay_links_lost" Gauge Count ""
        "Upstreams that other relays reach and this one does not.",
    RELAY_EVIDENCE_AGE_SECONDS "relay_evidence_age_seconds" Gauge Seconds ""
        "Time since the configuration in force was known to be the newest one, if revocation is strict.",
    RELAY_CARRIED_CONNECTIONS "relay_carried_connections_total" Counter Count "outcome"
        "Connections to upstreams that this relay asked others to carry, opened or declined, and that \
         it was asked to carry, carried or refused.",
    RELAY_ITEMS "relay_items_total" Counter Count "outcome"
        "Runs of batch items, by outcome: completed, abandoned, failed, interrupted or paused.",
    RELAY_RESULTS "relay_results_total" Counter Count ""
        "Results of batch jobs that a relay stored.",
    RELAY_CONFIGURATION_UNUSABLE "relay_configuration_unusable" Gauge Count ""
        "1 while the newest configuration in the store cannot be used and an older one is in force, else 0.",
    RELAY_TASKS_PANICKED "relay_tasks_panicked_total" Counter Count "task"
        "Tasks of a relay that ended by a panic, by task.",
    RELAY_TRANSACTIONS_REJECTED "relay_transactions_rejected_total" Counter Count ""
        "Transactions with results of batch jobs that the store refused for their content.",
    CONFIGURATION_REVISION "configuration_revision" Gauge Count ""
        "Configuration revision in force at this daemon.",
    MEMBERS "members" Gauge Count "state"
        "Daemons, by state as seen by this daemon.",
    PEER_MESSAGES "peer_messages_total" Counter Count "message, direction"
        "Messages exchanged with other daemons.",
    PEER_BYTES "peer_bytes_total" Counter Bytes "transport, direction"
        "Bytes exchanged with other daemons.",
    CONTROL_STEP_SECONDS "control_step_seconds" Histogram Seconds "actor"
        "Time that a control actor takes to process one message.",
}

/// Upper bounds of the histogram buckets, in seconds.
///
/// The latency targets, 0.079 s between tokens and 2 s to the first token, are bounds, so that the
/// share of requests that meet a target can be read exactly.
pub const BUCKET_BOUNDS_S: [f64; 20] = [
    0.0001, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.079, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0,
    4.0, 8.0, 15.0, 30.0, 60.0,
];

/// Handle to the metrics recorder of this process.
#[derive(Clone)]
pub struct Handle {
    prometheus: PrometheusHandle,
}

impl Handle {
    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.prometheus.run_upkeep();
        self.prometheus.render()
    }

    /// Moves recorded samples into the histograms.
    ///
    /// Must be called every few seconds, because samples accumulate in memory while nobody reads
    /// the metrics.
    pub fn upkeep(&self) {
        self.prometheus.run_upkeep();
    }
}

/// Installs the metrics recorder of this process and registers the descriptions of all metrics.
///
/// # Errors
///
/// The process already has a recorder.
pub fn install() -> Result<Handle, BuildError> {
    let prometheus = builder()?.install_recorder()?;
    for Metric { name, kind, unit, description, .. } in ALL.iter().copied() {
        match kind {
            Kind::Counter => describe_counter!(name, unit, description),
            Kind::Gauge => describe_gauge!(name, unit, description),
            Kind::Histogram => describe_histogram!(name, unit, description),
        }
    }
    Ok(Handle { prometheus })
}

fn builder() -> Result<PrometheusBuilder, BuildError> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".into()), &BUCKET_BOUNDS_S)
}
