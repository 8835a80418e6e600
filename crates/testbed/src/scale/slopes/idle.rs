//! Measurements of a proxy without client requests, by backends in its list and by tenants and classes in its
//! settings.

use super::agent::{Agent, unused_addresses};
use super::probe::{Probe, ProbeResult};
use super::proxy_process::SettingsSpec;
use super::quantities::Family;
use super::samples::Samples;
use super::{MeasurementSettings, ScaleError, fit};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of backends while tenants and classes are measured.
const FEW_BACKENDS: usize = 20;
/// Number of changes of one entry; each sample is their mean or median.
const CHANGES: usize = 20;
/// How long the processing of an event may still delay requests after its acknowledgment.
const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Pause between two changes while the probe runs.
const CHANGE_PAUSE: Duration = Duration::from_millis(10);
/// How long work of the start may continue after the process is up.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Duration of the measurement of a proxy without new events: the period of its long poll, so that it
/// contains one.
pub(super) const IDLE_TIME: Duration = Duration::from_secs(1);

/// Waits until the proxy has processed an event.
async fn wait_for_processing() {
    sleep(PROCESSING_TIME).await;
}

/// Measures one run with this number of backends.
pub(super) async fn backends(
    settings: &MeasurementSettings,
    size: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let agent = Agent::start(&unused_addresses(size)).await?;
    let proxy = settings.start_proxy(agent.address(), SettingsSpec::default()).await?;
    agent.wait_until_applied().await?;
    samples.add("start_cpu_us_per_backend", size, proxy.cpu_us()?);
    sleep(SETTLE_TIME).await;
    let loaded_bytes = proxy.memory()?.resident;
    samples.add("memory_bytes_per_backend", size, loaded_bytes);

    let before = proxy.cpu_us()?;
    let began = Instant::now();
    sleep(IDLE_TIME).await;
    let idle_cpu_us_per_s = (proxy.cpu_us()? - before) / began.elapsed().as_secs_f64();
    samples.add("rest_cpu_us_per_backend", size, idle_cpu_us_per_s);

    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let (cpu, bytes) = (proxy.cpu_us()?, agent.wire_bytes());
    for _ in 0..CHANGES {
        agent.toggle_draining(rng.usize(0..size)).await?;
    }
    // The poll that follows a change is counted with it; the response to that poll is counted with the next
    // change.
    samples.add("change_wire_bytes_per_backend", size, (agent.wire_bytes() - bytes) as f64 / CHANGES as f64);
    wait_for_processing().await;
    samples.add("change_cpu_us_per_backend", size, (proxy.cpu_us()? - cpu) / CHANGES as f64);

    let cpu = proxy.cpu_us()?;
    for _ in 0..CHANGES {
        agent.replace(rng.usize(0..size)).await?;
    }
    wait_for_processing().await;
    samples.add("replacement_cpu_us_per_backend", size, (proxy.cpu_us()? - cpu) / CHANGES as f64);

    let (cpu, bytes) = (proxy.cpu_us()?, agent.wire_bytes());
    agent.send_complete_list().await?;
    samples.add("list_wire_bytes_per_backend", size, (agent.wire_bytes() - bytes) as f64);
    wait_for_processing().await;
    samples.add("list_cpu_us_per_backend", size, proxy.cpu_us()? - cpu);
    // The kernel updates the peak late: it may be some pages below what was resident shortly before.
    samples.add("memory_peak_bytes_per_backend", size, proxy.memory()?.peak.max(loaded_bytes));

    let probe = Probe::start(proxy.address());
    sleep(SETTLE_TIME).await;
    let (mut changes, mut replacements, mut idle_spans) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..CHANGES {
        let began = Instant::now();
        agent.toggle_draining(rng.usize(0..size)).await?;
        let ended = Instant::now();
        sleep(CHANGE_PAUSE).await;
        changes.push((began, ended));
        let began_replacing = Instant::now();
        agent.replace(rng.usize(0..size)).await?;
        replacements.push((began_replacing, Instant::now()));
        sleep(CHANGE_PAUSE).await;
        let began_idling = Instant::now();
        sleep(ended - began).await;
        idle_spans.push((began_idling, Instant::now()));
        sleep(CHANGE_PAUSE).await;
    }
    let began = Instant::now();
    agent.send_complete_list().await?;
    let list_span = (began, Instant::now());
    wait_for_processing().await;
    let probed = probe.stop()?;
    samples.add("up_us_per_backend", size, probed.median_us());
    samples.add("change_stall_us_per_backend", size, median_stall_us(&probed, &changes));
    samples.add("replacement_stall_us_per_backend", size, median_stall_us(&probed, &replacements));
    samples.add("rest_stall_us_per_backend", size, median_stall_us(&probed, &idle_spans));
    samples.add(
        "list_stall_us_per_backend",
        size,
        probed.longest_stall_us(list_span.0, list_span.1 + PROCESSING_TIME),
    );
    Ok(())
}

fn median_stall_us(probed: &ProbeResult, spans: &[(Instant, Instant)]) -> f64 {
    let stalls_us: Vec<f64> = spans.iter().map(|&(from, to)| probed.longest_stall_us(from, to)).collect();
    fit::median(&stalls_us).unwrap_or(0.0)
}

/// Measures one run with this number of tenants: the start and the memory.
pub(super) async fn tenants(
    settings: &MeasurementSettings,
    size: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let agent = Agent::start(&unused_addresses(FEW_BACKENDS)).await?;
    let proxy = settings
        .start_proxy(agent.address(), SettingsSpec { tenants: size, ..SettingsSpec::default() })
        .await?;
    agent.wait_until_applied().await?;
    samples.add("start_cpu_us_per_tenant", size, proxy.cpu_us()?);
    sleep(SETTLE_TIME).await;
    samples.add("memory_bytes_per_tenant", size, proxy.memory()?.resident);
    Ok(())
}

/// Names of a family's quantities of a reloaded configuration.
struct ReloadQuantities {
    /// Resident memory before the reload.
    memory: Option<&'static str>,
    /// Peak resident memory after the reload.
    peak: Option<&'static str>,
    /// Size of the configuration file.
    bytes: &'static str,
    /// CPU time of the reload.
    cpu: &'static str,
    /// Longest stall of requests during the reload.
    stall: &'static str,
}

const TENANT_QUANTITIES: ReloadQuantities = ReloadQuantities {
    memory: None,
    peak: Some("memory_peak_bytes_per_tenant"),
    bytes: "config_bytes_per_tenant",
    cpu: "config_cpu_us_per_tenant",
    stall: "config_stall_us_per_tenant",
};
const CLASS_QUANTITIES: ReloadQuantities = ReloadQuantities {
    memory: Some("memory_bytes_per_class"),
    peak: None,
    bytes: "config_bytes_per_class",
    cpu: "config_cpu_us_per_class",
    stall: "config_stall_us_per_class",
};

/// Measures one run with this number of tenants or classes: a reload of the configuration.
pub(super) async fn reload(
    settings: &MeasurementSettings,
    family: Family,
    size: usize,
    samples: &mut Samples,
) -> Result<(), ScaleError> {
    let (quantities, spec) = if family == Family::Config {
        (&TENANT_QUANTITIES, SettingsSpec { tenants: size, ..SettingsSpec::default() })
    } else {
        (&CLASS_QUANTITIES, SettingsSpec { classes: size, ..SettingsSpec::default() })
    };
    let agent = Agent::start(&unused_addresses(FEW_BACKENDS)).await?;
    let mut proxy = settings.start_proxy(agent.address(), spec).await?;
    agent.wait_until_applied().await?;
    sleep(SETTLE_TIME).await;
    if let Some(memory) = quantities.memory {
        samples.add(memory, size, proxy.memory()?.resident);
    }

    let cpu = proxy.cpu_us()?;
    let bytes = proxy.reload().await?;
    wait_for_processing().await;
    samples.add(quantities.cpu, size, proxy.cpu_us()? - cpu);
    samples.add(quantities.bytes, size, bytes as f64);
    if let Some(peak) = quantities.peak {
        samples.add(peak, size, proxy.memory()?.peak);
    }

    let probe = Probe::start(proxy.address());
    sleep(SETTLE_TIME).await;
    let began = Instant::now();
    proxy.reload().await?;
    let ended = Instant::now();
    wait_for_processing().await;
    let probed = probe.stop()?;
    samples.add(quantities.stall, size, probed.longest_stall_us(began, ended + PROCESSING_TIME));
    Ok(())
}
