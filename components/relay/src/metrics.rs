//! Names of the metrics of this package.

pub use cyclamengrade_telemetry::metrics::{
    RELAY_ATTEMPTS as ATTEMPTS, RELAY_CONNECTIONS as CONNECTIONS_OPENED, RELAY_FIRST as FIRST_BYTE,
    RELAY_ITEMS as ITEMS, RELAY_REQUESTS as REQUESTS, RELAY_RESULTS as RESULTS,
    RELAY_SECONDS as SECONDS,
};
