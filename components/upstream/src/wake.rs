//! Waker for a connection that is polled by the same task that reads its response body.

use std::{
    cell::Cell,
    ptr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Wake, Waker},
};

use futures_util::task::AtomicWaker;

/// Number of polls in a row after which the task yields to other tasks.
const MAX_CONSECUTIVE_POLLS: usize = 8;

thread_local! {
    /// Waker of the connection that this thread is polling; null outside a poll.
    static POLLED: Cell<*const FilteredWaker> = const { Cell::new(ptr::null()) };
}

/// Waker that forwards a wake-up to the task unless it is raised by the poll itself.
///
/// A connection and its body wake each other while one call polls both. Forwarding these wake-ups
/// would poll the whole task a second time for each token.
#[derive(Default)]
pub(crate) struct FilteredWaker {
    task: AtomicWaker,
    /// Whether a wake-up was suppressed during the current poll.
    suppressed: AtomicBool,
}

impl Wake for FilteredWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if POLLED.get() == Arc::as_ptr(self) {
            self.suppressed.store(true, Ordering::Relaxed);
        } else {
            self.task.wake();
        }
    }
}

/// Polls a connection and its body under one filtered waker.
pub(crate) struct Poller {
    filter: Arc<FilteredWaker>,
    waker: Waker,
}

impl Poller {
    pub(crate) fn new() -> Self {
        let filter = Arc::new(FilteredWaker::default());
        Self { waker: Waker::from(Arc::clone(&filter)), filter }
    }

    /// Polls until the result is ready or only an external wake-up can make progress.
    ///
    /// A wake-up that was suppressed before `Ready` is lost, so the caller must poll again before
    /// it waits.
    pub(crate) fn poll<T>(
        &self,
        cx: &Context<'_>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        self.filter.task.register(cx.waker());
        for _ in 0..MAX_CONSECUTIVE_POLLS {
            self.filter.suppressed.store(false, Ordering::Relaxed);
            POLLED.set(Arc::as_ptr(&self.filter));
            let result = poll(&mut Context::from_waker(&self.waker));
            POLLED.set(ptr::null());
            if result.is_ready() || !self.filter.suppressed.load(Ordering::Relaxed) {
                return result;
            }
        }
        // Yields to other tasks and schedules this one again.
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
