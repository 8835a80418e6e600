//! Guards whose scope is an open request.

use crate::transport::EngineHandle;
use balancer::api::RequestId;
use hyper::header::HeaderValue;
use rustc_hash::FxHashSet;
use std::cell::RefCell;

/// Notifies the engine if a client disconnects while its request is open: the connection then drops the
/// future of the response, and this guard with it.
pub(super) struct DisconnectGuard<'a> {
    handle: &'a EngineHandle,
    request: RequestId,
    is_armed: bool,
}

impl<'a> DisconnectGuard<'a> {
    pub(super) fn new(handle: &'a EngineHandle, request: RequestId) -> Self {
        Self { handle, request, is_armed: true }
    }

    /// Called when the request has its final outcome.
    pub(super) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.handle.client_disconnected(self.request);
        }
    }
}

/// The correlation id of an open request, released on drop.
pub(super) struct OpenRequestId<'a> {
    open_ids: &'a RefCell<FxHashSet<HeaderValue>>,
    pub(super) id: HeaderValue,
}

impl<'a> OpenRequestId<'a> {
    /// Registers an id; `None` if another request with this id is open.
    pub(super) fn acquire(open_ids: &'a RefCell<FxHashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        let is_new = open_ids.borrow_mut().insert(id.clone());
        is_new.then(|| Self { open_ids, id })
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}
