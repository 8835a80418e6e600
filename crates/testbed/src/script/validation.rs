//! Validation of a fault script. Errors contain the first key whose value is out of range, as it is named in
//! the file.

use super::{
    BackendFault, BackendFaultKind, ClassSpec, LinkFault, MAX_BACKENDS, MAX_PROXIES, MAX_REQUESTS,
    MAX_SECONDS, ProcessFault, ProcessFaultKind, Script, ScriptError,
};

/// Maximum number of waves of one process fault.
const MAX_WAVES: f64 = 1_000.0;
/// Maximum rate of stalls of one fault over all processes, per second.
const MAX_STALLS_PER_S: f64 = 5_000.0;
/// Maximum number of request classes.
const MAX_CLASSES: usize = 64;
/// Minimum time between the end of a stall and the next one of the same process, seconds.
const MIN_STALL_GAP_S: f64 = 0.001;

fn invalid(key: impl Into<String>, problem: impl Into<String>) -> Result<(), ScriptError> {
    Err(ScriptError::Value(key.into(), problem.into()))
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), ScriptError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    invalid(key, format!("{value} is not between {min} and {max}"))
}

fn check_fractions(fractions: &[(&str, f64)]) -> Result<(), ScriptError> {
    for (key, fraction) in fractions {
        check_range(key, *fraction, 0.0, 1.0)?;
    }
    Ok(())
}

impl Script {
    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    /// The first key whose value is out of range, and why.
    pub fn check(&self) -> Result<(), ScriptError> {
        check_range("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        self.check_fleet()?;
        self.check_discovery()?;
        self.check_traffic()?;
        self.check_classes()?;
        for (index, fault) in self.backend_faults.iter().enumerate() {
            self.check_backend_fault(index, fault)?;
        }
        for (index, fault) in self.process_faults.iter().enumerate() {
            self.check_process_fault(index, fault)?;
        }
        for (index, fault) in self.link_faults.iter().enumerate() {
            self.check_link_fault(index, fault)?;
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), ScriptError> {
        let fleet = &self.fleet;
        check_range("fleet.boxes", fleet.backends as f64, 1.0, MAX_BACKENDS as f64)?;
        check_range("fleet.proxies", fleet.proxies as f64, 1.0, MAX_PROXIES as f64)?;
        check_range("fleet.zones", f64::from(fleet.zones), 1.0, 64.0)?;
        check_range("fleet.cells", f64::from(fleet.cells), 1.0, 1_000.0)?;
        check_range("fleet.cores", fleet.cores, 0.01, 1_000.0)?;
        check_range("fleet.holds", fleet.queue_per_core, 1.0, 1_000.0)?;
        check_range("fleet.cold_from", fleet.initial_capacity, 0.01, 1.0)?;
        check_range("fleet.cold_s", fleet.warm_up_s, 0.0, 600.0)?;
        check_range("fleet.clock_behind_s", fleet.clock_behind_s, -86_400.0, 86_400.0)?;
        check_range("fleet.told_cold_s", fleet.configured_warm_up_s.unwrap_or(fleet.warm_up_s), 0.0, 600.0)?;
        check_range("fleet.cross_zone_ms", fleet.cross_zone_ms, 0.0, 1_000.0)?;
        check_range("fleet.news_s", fleet.notification_delay_s, 0.0, 60.0)?;
        check_range("fleet.front_notice_s", fleet.front_end_detection_s, 0.0, 60.0)?;
        if fleet.speeds.len() > MAX_BACKENDS {
            return invalid(
                "fleet.speeds",
                format!("{} speeds, must be at most {MAX_BACKENDS}", fleet.speeds.len()),
            );
        }
        for (index, &speed) in fleet.speeds.iter().enumerate() {
            check_range(&format!("fleet.speeds[{index}]"), speed, 0.01, 100.0)?;
        }
        Ok(())
    }

    fn check_discovery(&self) -> Result<(), ScriptError> {
        let discovery = &self.discovery;
        check_range("discovery.call_ms[0]", discovery.call_ms[0], 0.0, discovery.call_ms[1])?;
        check_range("discovery.call_ms[1]", discovery.call_ms[1], 0.0, 60_000.0)?;
        check_range("discovery.fails_after_ms", discovery.fails_after_ms, 0.0, 60_000.0)
    }

    fn check_traffic(&self) -> Result<(), ScriptError> {
        let traffic = &self.traffic;
        check_range("traffic.skew", traffic.skew, 0.0, 3.0)?;
        check_range("traffic.per_s", traffic.per_s, 0.1, MAX_REQUESTS / self.seconds)?;
        check_fractions(&[
            ("traffic.leased", traffic.leased_fraction),
            ("traffic.lost_reports", traffic.lost_report_fraction),
            ("traffic.slow_callers", traffic.delayed_send_fraction),
            ("traffic.first_tenant", traffic.first_tenant_share),
            ("traffic.busy_proxies", traffic.busy_proxy_fraction),
            ("traffic.busy_share", traffic.busy_share),
            ("traffic.first_zone", traffic.first_zone_share),
        ])
    }

    fn check_classes(&self) -> Result<(), ScriptError> {
        let count = self.classes.len();
        if !(1..=MAX_CLASSES).contains(&count) {
            return invalid("class", format!("{count} classes, must be 1 to {MAX_CLASSES}"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            check_class(index, class)?;
        }
        if self.classes.iter().all(|class| class.share == 0.0) {
            return invalid("class", "the `share` of all classes is 0");
        }
        Ok(())
    }

    fn check_zone(&self, key: &str, zone: Option<u16>) -> Result<(), ScriptError> {
        let zones = self.fleet.zones;
        if zone.is_some_and(|zone| zone >= zones) {
            return invalid(key, format!("no such zone; the {zones} zones are numbered from 0"));
        }
        Ok(())
    }

    fn check_backend_fault(&self, index: usize, fault: &BackendFault) -> Result<(), ScriptError> {
        let key = |name: &str| format!("trouble[{index}].{name}");
        check_range(&key("at_s"), fault.at_s, 0.0, self.seconds)?;
        check_range(&key("for_s"), fault.for_s, 0.0, MAX_SECONDS)?;
        check_range(&key("part"), fault.fraction, 0.0, 1.0)?;
        let (min_degree, max_degree) =
            if fault.kind == BackendFaultKind::Slow { (1.0, 100.0) } else { (0.0, 1.0) };
        if fault.kind.has_severity() {
            check_range(&key("degree"), fault.severity, min_degree, max_degree)?;
        }
        self.check_zone(&key("zone"), fault.zone)
    }

    fn check_process_fault(&self, index: usize, fault: &ProcessFault) -> Result<(), ScriptError> {
        let key = |name: &str| format!("process[{index}].{name}");
        check_range(&key("at_s"), fault.at_s, 0.0, self.seconds)?;
        check_range(&key("for_s"), fault.for_s, 0.0, MAX_SECONDS)?;
        check_range(&key("part"), fault.fraction, 0.0, 1.0)?;
        check_range(&key("waves"), f64::from(fault.waves), 1.0, MAX_WAVES)?;
        check_range(&key("wave_s"), fault.wave_s, 0.0, MAX_SECONDS)?;
        if fault.every_s == 0.0 {
            return Ok(());
        }
        if fault.kind != ProcessFaultKind::Stall {
            return invalid(key("every_s"), "must be 0, as only a `stall` can be periodic");
        }
        // The period must leave time to signal all processes, and a gap between two stalls of one process.
        let signalling_s = self.fleet.proxies as f64 * fault.fraction / MAX_STALLS_PER_S;
        check_range(
            &key("every_s"),
            fault.every_s,
            signalling_s.max(fault.for_s + MIN_STALL_GAP_S),
            MAX_SECONDS,
        )
    }

    fn check_link_fault(&self, index: usize, fault: &LinkFault) -> Result<(), ScriptError> {
        let key = |name: &str| format!("link[{index}].{name}");
        check_range(&key("at_s"), fault.at_s, 0.0, self.seconds)?;
        check_range(&key("for_s"), fault.for_s, 0.0, MAX_SECONDS)?;
        check_range(&key("part"), fault.fraction, 0.0, 1.0)?;
        check_range(&key("drop"), fault.loss_fraction, 0.0, 1.0)?;
        check_range(&key("duplicate"), fault.duplication_fraction, 0.0, 1.0)?;
        check_range(&key("reorder"), fault.reorder_fraction, 0.0, 1.0)?;
        check_range(&key("delay_ms"), fault.delay_ms, 0.0, 60_000.0)?;
        check_range(&key("spread_ms"), fault.jitter_ms, 0.0, 60_000.0)?;
        check_range(&key("kbytes_s"), fault.bandwidth_kbytes_s, 0.0, 1e6)?;
        self.check_zone(&key("zone"), fault.zone)
    }
}

fn check_class(index: usize, class: &ClassSpec) -> Result<(), ScriptError> {
    let key = |name: &str| format!("class[{index}].{name}");
    check_range(&key("share"), class.share, 0.0, 1e6)?;
    check_range(&key("work_ms[0]"), class.work_ms[0], 0.01, class.work_ms[1])?;
    check_range(&key("work_ms[1]"), class.work_ms[1], 0.01, 60_000.0)?;
    check_range(&key("aim_ms"), class.latency_objective_ms as f64, 1.0, class.deadline_ms as f64)?;
    check_range(&key("deadline_ms"), class.deadline_ms as f64, 1.0, 60_000.0)?;
    check_range(&key("worth"), class.priority_weight, 0.0, 1e6)?;
    check_range(&key("late_worth"), class.late_weight_fraction, 0.0, 1.0)?;
    check_range(&key("key_s"), class.dedup_s, 0.0, 3_600.0)
}
