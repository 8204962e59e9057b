//! Tokens of the quotas of client accounts.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::account::Account;

use crate::shared::Shared;

/// A token of an account's quota. Unless it was spent, it is given back when this value is dropped.
#[derive(Debug, Default)]
pub struct Token;

impl Token {
    /// Records that the request is sent to an upstream.
    pub const fn spend(&mut self) {}
}

impl Shared {
    /// Takes a token of an account's quota for an online request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if the quota is used up.
    pub async fn take_token(self: &Arc<Self>, _account: &Account) -> Result<Token, Duration> {
        Ok(Token)
    }
}
