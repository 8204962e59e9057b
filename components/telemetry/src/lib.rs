//! Numbered log events, metrics and trace spans.
