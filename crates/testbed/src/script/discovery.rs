//! How proxies receive the list of backends in a script.

use super::micros;
use crate::call_queue::CallQueue;
use serde::Deserialize;

/// The discovery service of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// One agent per proxy, or one shared service.
    #[serde(default)]
    pub mode: DiscoveryMode,
    /// Minimum and maximum processing time of a call at the shared service, milliseconds. An open watch takes
    /// no processing time.
    #[serde(default = "default_call_ms")]
    pub call_ms: [f64; 2],
    /// Time in the shared service's queue after which a call fails, milliseconds.
    #[serde(default = "default_fails_after_ms")]
    pub fails_after_ms: f64,
}

/// The service that delivers the list.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryMode {
    /// An agent next to each proxy, which receives changes and responds immediately.
    #[default]
    Pushed,
    /// One shared service, which processes the calls of all proxies in order.
    #[serde(rename = "asked")]
    OnRequest,
}

fn default_call_ms() -> [f64; 2] {
    [60.0, 160.0]
}

fn default_fails_after_ms() -> f64 {
    2_000.0
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            mode: DiscoveryMode::default(),
            call_ms: default_call_ms(),
            fails_after_ms: default_fails_after_ms(),
        }
    }
}

impl Discovery {
    /// The call queue of the shared service; `None` if agents deliver the list.
    pub(crate) fn queue(&self, seed: u64) -> Option<CallQueue> {
        let [min, max] = self.call_ms.map(|ms| micros(ms / 1e3));
        (self.mode == DiscoveryMode::OnRequest)
            .then(|| CallQueue::new((min, max), micros(self.fails_after_ms / 1e3), seed))
    }
}
