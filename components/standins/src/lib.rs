//! Stand-ins for the platform and the upstreams, and a load tool.
