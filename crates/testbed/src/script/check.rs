//! What of a script makes no sense, by key.

use super::{MAX_BOXES, MAX_PROXIES, MAX_REQUESTS, MAX_SECONDS, ProcessWhat, Script, ScriptError, What};

/// The most waves of one fault of processes.
const MAX_WAVES: f64 = 1_000.0;
/// The most stalls a second of one fault, over all processes.
const MAX_STALLS_S: f64 = 5_000.0;

impl Script {
    /// Whether all of it can be played.
    ///
    /// # Errors
    /// The first key that makes no sense, and why.
    pub fn check(&self) -> Result<(), ScriptError> {
        let fault = |field: String, problem: String| Err(ScriptError::Value(field, problem));
        let within = |field: &str, value: f64, least: f64, most: f64| {
            if value.is_finite() && (least..=most).contains(&value) {
                return Ok(());
            }
            fault(field.into(), format!("{value} does not lie in {least}..={most}"))
        };
        let fleet = &self.fleet;
        within("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        within("fleet.boxes", fleet.boxes as f64, 1.0, MAX_BOXES as f64)?;
        within("fleet.proxies", fleet.proxies as f64, 1.0, MAX_PROXIES as f64)?;
        within("fleet.zones", f64::from(fleet.zones), 1.0, 64.0)?;
        within("fleet.cells", f64::from(fleet.cells), 1.0, 1_000.0)?;
        within("fleet.cores", fleet.cores, 0.01, 1_000.0)?;
        within("fleet.holds", fleet.holds, 1.0, 1_000.0)?;
        within("fleet.cold_from", fleet.cold_from, 0.01, 1.0)?;
        within("fleet.cold_s", fleet.cold_s, 0.0, 600.0)?;
        within("fleet.clock_behind_s", fleet.clock_behind_s, -86_400.0, 86_400.0)?;
        within("fleet.told_cold_s", fleet.told_cold_s.unwrap_or(fleet.cold_s), 0.0, 600.0)?;
        within("fleet.cross_zone_ms", fleet.cross_zone_ms, 0.0, 1_000.0)?;
        within("fleet.news_s", fleet.news_s, 0.0, 60.0)?;
        within("fleet.front_notice_s", fleet.front_notice_s, 0.0, 60.0)?;
        if fleet.speeds.len() > MAX_BOXES {
            return fault(
                "fleet.speeds".into(),
                format!("{} speeds; at most {MAX_BOXES}", fleet.speeds.len()),
            );
        }
        for (i, &speed) in fleet.speeds.iter().enumerate() {
            within(&format!("fleet.speeds[{i}]"), speed, 0.01, 100.0)?;
        }
        let discovery = &self.discovery;
        within("discovery.call_ms[0]", discovery.call_ms[0], 0.0, discovery.call_ms[1])?;
        within("discovery.call_ms[1]", discovery.call_ms[1], 0.0, 60_000.0)?;
        within("discovery.fails_after_ms", discovery.fails_after_ms, 0.0, 60_000.0)?;
        within("traffic.skew", self.traffic.skew, 0.0, 3.0)?;
        within("traffic.per_s", self.traffic.per_s, 0.1, MAX_REQUESTS / self.seconds)?;
        for (name, part) in [
            ("traffic.leased", self.traffic.leased),
            ("traffic.lost_reports", self.traffic.lost_reports),
            ("traffic.slow_callers", self.traffic.slow_callers),
            ("traffic.first_tenant", self.traffic.first_tenant),
            ("traffic.busy_proxies", self.traffic.busy_proxies),
            ("traffic.busy_share", self.traffic.busy_share),
            ("traffic.first_zone", self.traffic.first_zone),
        ] {
            within(name, part, 0.0, 1.0)?;
        }
        if self.class.is_empty() || self.class.len() > 64 {
            return fault("class".into(), format!("{} classes; 1 to 64 are possible", self.class.len()));
        }
        for (i, class) in self.class.iter().enumerate() {
            let field = |name: &str| format!("class[{i}].{name}");
            within(&field("share"), class.share, 0.0, 1e6)?;
            within(&field("work_ms[0]"), class.work_ms[0], 0.01, class.work_ms[1])?;
            within(&field("work_ms[1]"), class.work_ms[1], 0.01, 60_000.0)?;
            within(&field("aim_ms"), class.aim_ms as f64, 1.0, class.deadline_ms as f64)?;
            within(&field("deadline_ms"), class.deadline_ms as f64, 1.0, 60_000.0)?;
            within(&field("worth"), class.worth, 0.0, 1e6)?;
            within(&field("late_worth"), class.late_worth, 0.0, 1.0)?;
            within(&field("key_s"), class.key_s, 0.0, 3_600.0)?;
        }
        if self.class.iter().all(|c| c.share == 0.0) {
            return fault("class".into(), "no class has a share of the traffic".into());
        }
        for (i, trouble) in self.trouble.iter().enumerate() {
            let field = |name: &str| format!("trouble[{i}].{name}");
            within(&field("at_s"), trouble.at_s, 0.0, self.seconds)?;
            within(&field("for_s"), trouble.for_s, 0.0, MAX_SECONDS)?;
            within(&field("part"), trouble.part, 0.0, 1.0)?;
            let degree = if trouble.what == What::Slow { (1.0, 100.0) } else { (0.0, 1.0) };
            if trouble.what.has_degree() {
                within(&field("degree"), trouble.degree, degree.0, degree.1)?;
            }
            if trouble.zone.is_some_and(|zone| zone >= fleet.zones) {
                return fault(field("zone"), format!("there are {} zones, from 0", fleet.zones));
            }
        }
        for (i, process) in self.process.iter().enumerate() {
            let field = |name: &str| format!("process[{i}].{name}");
            within(&field("at_s"), process.at_s, 0.0, self.seconds)?;
            within(&field("for_s"), process.for_s, 0.0, MAX_SECONDS)?;
            within(&field("part"), process.part, 0.0, 1.0)?;
            within(&field("waves"), f64::from(process.waves), 1.0, MAX_WAVES)?;
            within(&field("wave_s"), process.wave_s, 0.0, MAX_SECONDS)?;
            if process.every_s != 0.0 {
                if process.what != ProcessWhat::Stall {
                    return fault(field("every_s"), "only a `stall` comes again".into());
                }
                // As often as the laboratory can signal them all, and with a moment between two of them.
                let least = (fleet.proxies as f64 * process.part / MAX_STALLS_S).max(process.for_s + 0.001);
                within(&field("every_s"), process.every_s, least, MAX_SECONDS)?;
            }
        }
        for (i, link) in self.link.iter().enumerate() {
            let field = |name: &str| format!("link[{i}].{name}");
            within(&field("at_s"), link.at_s, 0.0, self.seconds)?;
            within(&field("for_s"), link.for_s, 0.0, MAX_SECONDS)?;
            for (name, part) in [
                ("part", link.part),
                ("drop", link.drop),
                ("duplicate", link.duplicate),
                ("reorder", link.reorder),
            ] {
                within(&field(name), part, 0.0, 1.0)?;
            }
            within(&field("delay_ms"), link.delay_ms, 0.0, 60_000.0)?;
            within(&field("spread_ms"), link.spread_ms, 0.0, 60_000.0)?;
            within(&field("kbytes_s"), link.kbytes_s, 0.0, 1e6)?;
            if link.zone.is_some_and(|zone| zone >= fleet.zones) {
                return fault(field("zone"), format!("there are {} zones, from 0", fleet.zones));
            }
        }
        Ok(())
    }
}
