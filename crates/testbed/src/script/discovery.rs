//! How proxies hear of backends, as scripts have it.

use super::micros;
use crate::call_queue::CallQueue;
use serde::Deserialize;

/// Discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// An agent for each proxy, or one service for all.
    #[serde(default)]
    pub mode: DiscoveryMode,
    /// What a call takes of the one service, milliseconds, from and to; a watch that goes on takes nothing.
    #[serde(default = "usual_call")]
    pub call_ms: [f64; 2],
    /// A call that has waited so long for its turn fails, milliseconds.
    #[serde(default = "usual_wait")]
    pub fails_after_ms: f64,
}

/// Who serves lists.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    /// An agent beside each proxy, which is sent what changes and answers at once.
    #[default]
    Pushed,
    /// One service for all proxies, which works through their calls in turn.
    Asked,
}

fn usual_call() -> [f64; 2] {
    [60.0, 160.0]
}

fn usual_wait() -> f64 {
    2_000.0
}

impl Default for Discovery {
    fn default() -> Self {
        Self { mode: DiscoveryMode::default(), call_ms: usual_call(), fails_after_ms: usual_wait() }
    }
}

impl Discovery {
    /// The calls of the one service, where there is one.
    pub(crate) fn queue(&self, seed: u64) -> Option<CallQueue> {
        let [from, to] = self.call_ms.map(|ms| micros(ms / 1e3));
        (self.mode == DiscoveryMode::Asked)
            .then(|| CallQueue::new((from, to), micros(self.fails_after_ms / 1e3), seed))
    }
}
