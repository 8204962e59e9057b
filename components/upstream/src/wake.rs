//! Wake-ups of a connection that is driven by the task that reads its body.

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

/// Polls of one connection before other tasks get a turn.
const POLLS: usize = 8;

thread_local! {
    /// The relay whose connection this thread polls.
    static POLLED: Cell<*const Relay> = const { Cell::new(ptr::null()) };
}

/// Passes wake-ups on to a task, except those that the connection and its body cause in each other
/// while both are polled anyway. These would poll the whole task a second time for each token.
#[derive(Default)]
pub(crate) struct Relay {
    task: AtomicWaker,
    /// Whether a wake-up was kept back during the current poll.
    kept_back: AtomicBool,
}

impl Wake for Relay {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if POLLED.get() == Arc::as_ptr(self) {
            self.kept_back.store(true, Ordering::Relaxed);
        } else {
            self.task.wake();
        }
    }
}

/// A relay with its waker.
pub(crate) struct Wakeups {
    relay: Arc<Relay>,
    waker: Waker,
}

impl Wakeups {
    pub(crate) fn new() -> Self {
        let relay = Arc::new(Relay::default());
        Self { waker: Waker::from(Arc::clone(&relay)), relay }
    }

    /// Polls until the result is ready or nothing can make progress without a wake-up from outside.
    ///
    /// After `Ready`, the caller must poll again before it waits.
    pub(crate) fn poll<T>(
        &self,
        cx: &Context<'_>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        self.relay.task.register(cx.waker());
        for _ in 0..POLLS {
            self.relay.kept_back.store(false, Ordering::Relaxed);
            POLLED.set(Arc::as_ptr(&self.relay));
            let polled = poll(&mut Context::from_waker(&self.waker));
            POLLED.set(ptr::null());
            if polled.is_ready() || !self.relay.kept_back.load(Ordering::Relaxed) {
                return polled;
            }
        }
        // Lets other tasks run.
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
