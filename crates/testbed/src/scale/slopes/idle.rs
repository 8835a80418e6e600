//! Figures of a proxy that nobody asks anything: by backends in its list, by tenants and by classes in its settings.

use super::agent::{Agent, silent};
use super::probe::{Probe, Seen};
use super::quantities::Family;
use super::sheet::Sheet;
use super::subject::Shape;
use super::{Bench, ScaleError, fit};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Backends beside which settings are measured.
const FEW_BACKENDS: usize = 20;
/// Changes of one entry of which each figure is the mean or median.
const CHANGES: usize = 20;
/// How long after an event requests may still wait for what it set off.
const AFTERMATH: Duration = Duration::from_millis(20);
/// Pause between two changes while requests are probed.
const BETWEEN: Duration = Duration::from_millis(10);
/// How long a start's work may go on after the process is up.
const SETTLE: Duration = Duration::from_millis(100);

/// How long a proxy is left at rest: the period of its watch on an agent, so that one call falls into it.
pub(super) const REST: Duration = Duration::from_secs(1);

/// Waits until whatever an event set off is over.
async fn aftermath() {
    sleep(AFTERMATH).await;
}

/// One run at one number of backends.
pub(super) async fn backends(bench: &Bench, size: usize, sheet: &mut Sheet) -> Result<(), ScaleError> {
    let agent = Agent::start(&silent(size)).await?;
    let subject = bench.subject(agent.address(), Shape::default()).await?;
    agent.settled().await?;
    sheet.add("start_cpu_us_per_backend", size, subject.cpu_us()?);
    sleep(SETTLE).await;
    let held = subject.memory()?.resident;
    sheet.add("memory_bytes_per_backend", size, held);

    let before = subject.cpu_us()?;
    let began = Instant::now();
    sleep(REST).await;
    let rest_per_s = (subject.cpu_us()? - before) / began.elapsed().as_secs_f64();
    sheet.add("rest_cpu_us_per_backend", size, rest_per_s);

    let mut rng = fastrand::Rng::with_seed(bench.seed);
    let (cpu, bytes) = (subject.cpu_us()?, agent.bytes());
    for _ in 0..CHANGES {
        agent.change(rng.usize(0..size)).await?;
    }
    // The watch that follows a change is asked within it, its answer belongs to the next.
    sheet.add("change_wire_bytes_per_backend", size, (agent.bytes() - bytes) as f64 / CHANGES as f64);
    aftermath().await;
    sheet.add("change_cpu_us_per_backend", size, (subject.cpu_us()? - cpu) / CHANGES as f64);

    let cpu = subject.cpu_us()?;
    for _ in 0..CHANGES {
        agent.replace(rng.usize(0..size)).await?;
    }
    aftermath().await;
    sheet.add("replacement_cpu_us_per_backend", size, (subject.cpu_us()? - cpu) / CHANGES as f64);

    let (cpu, bytes) = (subject.cpu_us()?, agent.bytes());
    agent.tell_all().await?;
    sheet.add("list_wire_bytes_per_backend", size, (agent.bytes() - bytes) as f64);
    aftermath().await;
    sheet.add("list_cpu_us_per_backend", size, subject.cpu_us()? - cpu);
    // The kernel notes a peak late: it may tell some pages less than were resident a moment before.
    sheet.add("memory_peak_bytes_per_backend", size, subject.memory()?.peak.max(held));

    let probe = Probe::start(subject.address());
    sleep(SETTLE).await;
    let (mut changes, mut replacements, mut rests) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..CHANGES {
        let began = Instant::now();
        agent.change(rng.usize(0..size)).await?;
        let ended = Instant::now();
        sleep(BETWEEN).await;
        changes.push((began, ended));
        let began_replacing = Instant::now();
        agent.replace(rng.usize(0..size)).await?;
        replacements.push((began_replacing, Instant::now()));
        sleep(BETWEEN).await;
        let began_resting = Instant::now();
        sleep(ended - began).await;
        rests.push((began_resting, Instant::now()));
        sleep(BETWEEN).await;
    }
    let began = Instant::now();
    agent.tell_all().await?;
    let whole = (began, Instant::now());
    aftermath().await;
    let seen = probe.end()?;
    sheet.add("up_us_per_backend", size, seen.usual_us());
    sheet.add("change_stall_us_per_backend", size, usual_longest(&seen, &changes));
    sheet.add("replacement_stall_us_per_backend", size, usual_longest(&seen, &replacements));
    sheet.add("rest_stall_us_per_backend", size, usual_longest(&seen, &rests));
    sheet.add("list_stall_us_per_backend", size, seen.longest_us(whole.0, whole.1 + AFTERMATH));
    Ok(())
}

fn usual_longest(seen: &Seen, spans: &[(Instant, Instant)]) -> f64 {
    let longest: Vec<f64> = spans.iter().map(|&(from, to)| seen.longest_us(from, to)).collect();
    fit::median(&longest).unwrap_or(0.0)
}

/// One run at one number of tenants: what holding them takes.
pub(super) async fn tenants(bench: &Bench, size: usize, sheet: &mut Sheet) -> Result<(), ScaleError> {
    let agent = Agent::start(&silent(FEW_BACKENDS)).await?;
    let subject = bench.subject(agent.address(), Shape { tenants: size, ..Shape::default() }).await?;
    agent.settled().await?;
    sheet.add("start_cpu_us_per_tenant", size, subject.cpu_us()?);
    sleep(SETTLE).await;
    sheet.add("memory_bytes_per_tenant", size, subject.memory()?.resident);
    Ok(())
}

/// The names of a family's figures of a configuration that is read again: memory before, its peak, the file, what it costs,
/// and how long requests wait.
struct Names {
    memory: Option<&'static str>,
    peak: Option<&'static str>,
    bytes: &'static str,
    cpu: &'static str,
    stall: &'static str,
}

const TENANTS: Names = Names {
    memory: None,
    peak: Some("memory_peak_bytes_per_tenant"),
    bytes: "config_bytes_per_tenant",
    cpu: "config_cpu_us_per_tenant",
    stall: "config_stall_us_per_tenant",
};
const CLASSES: Names = Names {
    memory: Some("memory_bytes_per_class"),
    peak: None,
    bytes: "config_bytes_per_class",
    cpu: "config_cpu_us_per_class",
    stall: "config_stall_us_per_class",
};

/// One run at one number of tenants or classes: what it takes to read the configuration again.
pub(super) async fn settings(
    bench: &Bench,
    family: Family,
    size: usize,
    sheet: &mut Sheet,
) -> Result<(), ScaleError> {
    let (names, shape) = if family == Family::Config {
        (&TENANTS, Shape { tenants: size, ..Shape::default() })
    } else {
        (&CLASSES, Shape { classes: size, ..Shape::default() })
    };
    let agent = Agent::start(&silent(FEW_BACKENDS)).await?;
    let mut subject = bench.subject(agent.address(), shape).await?;
    agent.settled().await?;
    sleep(SETTLE).await;
    if let Some(memory) = names.memory {
        sheet.add(memory, size, subject.memory()?.resident);
    }

    let cpu = subject.cpu_us()?;
    let bytes = subject.renew().await?;
    aftermath().await;
    sheet.add(names.cpu, size, subject.cpu_us()? - cpu);
    sheet.add(names.bytes, size, bytes as f64);
    if let Some(peak) = names.peak {
        sheet.add(peak, size, subject.memory()?.peak);
    }

    let probe = Probe::start(subject.address());
    sleep(SETTLE).await;
    let began = Instant::now();
    subject.renew().await?;
    let ended = Instant::now();
    aftermath().await;
    let seen = probe.end()?;
    sheet.add(names.stall, size, seen.longest_us(began, ended + AFTERMATH));
    Ok(())
}
