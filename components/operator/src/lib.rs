//! Library with which operators build a configuration, and the admin client.
