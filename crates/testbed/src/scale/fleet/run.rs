//! A run, from the first process to the end of the last.

use super::checker::{compare, compare_list};
use super::hollows::Hollows;
use super::in_force::{InForce, summary};
use super::lists;
use super::network::Network;
use super::plan::{Deed, ScalePlan};
use super::population::Population;
use super::programs::Starter;
use super::reach::{Reach, Who, Window};
use super::real::{Real, Stand};
use super::report::{Cost, MAX_MEMORY, Report, StepRow, Taken};
use super::script::{ScaleScript, Step, What};
use super::strays::strays;
use super::words::{Hollow, Plant, now};
use super::{ScaleError, words};
use crate::fleet::{Folder, Machine, process_guard};
use control_plane::record::{Change, Key, Kind, ServiceId, SourceId, State};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// How often it is looked whether a change is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// How often hollow proxies are asked whether they are as far as their sources.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of a configuration, as it is carried here.
const CONFIGURATION: usize = 400;
/// Drains, and configurations, that a source says in the moment before it is killed.
const LAST_WORDS: usize = 3;
/// Differences of one subscriber that are told.
const TOLD: usize = 3;

/// What a run uses.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Control's program.
    pub control: PathBuf,
    /// The proxy's program, the rig's own, and the proxies' limits.
    pub machine: Machine,
    /// Sizes of today's whole lists that are measured at the end.
    pub lists: Vec<usize>,
}

/// Plays a script. Everything that it starts ends before it returns, also with an error.
///
/// # Errors
/// Where it can't be played to its end; what was not as it must be is in the report.
pub fn play(script: &ScaleScript, setting: &Setting) -> Result<Report, ScaleError> {
    script.check()?;
    process_guard::all_descriptors()?;
    let folder = Folder::new()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = LocalSet::new().block_on(&runtime, async {
        let mut run = Run::start(script, setting, &folder).await?;
        run.fill().await?;
        for step in 0..script.step.len() {
            run.step(step).await?;
        }
        run.end().await
    });
    // The processes are gone; the folder goes last.
    drop(folder);
    report
}

struct Run<'a> {
    script: &'a ScaleScript,
    setting: &'a Setting,
    starter: Starter<'a>,
    population: Population,
    plan: ScalePlan,
    done: usize,
    held: Vec<Deed>,
    down: Option<usize>,
    gone: Option<usize>,
    configurations: u64,
    stand: Stand,
    network: Network,
    hollows: Hollows,
    real: Option<Real>,
    reach: Reach,
    in_force: InForce,
    report: Report,
}

/// What one step's play left behind for its row.
#[derive(Default)]
struct Played {
    anew: Vec<u32>,
    lost: usize,
    zone_from: Option<u64>,
}

impl<'a> Run<'a> {
    async fn start(
        script: &'a ScaleScript,
        setting: &'a Setting,
        folder: &'a Folder,
    ) -> Result<Self, ScaleError> {
        let population = Population::draw(script);
        let plan = ScalePlan::draw(script, &population);
        let reach = Reach::new(&population, script.size.processes);
        let starter = Starter { keeper: &setting.machine.keeper, control: &setting.control, folder };
        let stand = Stand::start()?;
        let network = Network::start(script, &starter).await?;
        let mut hollows = Hollows::start(&setting.machine.keeper, folder, script.size.processes).await?;
        let spec = |(number, proxy): (usize, &super::population::Proxy)| Hollow {
            number: number as u32,
            name: format!("proxy-{number}"),
            group: proxy.zone as u16,
            scope: proxy.scope.clone(),
            relays: network.relays_of(population.region_of_zone(proxy.zone)),
        };
        let specs = population.proxies[..population.hollow].iter().enumerate().map(spec).collect();
        hollows.settle(specs, script.plant).await?;
        let report = Report {
            title: script.title.clone(),
            seed: script.seed,
            size: (population.hollow, population.backends.len()),
            real: script.size.real,
            relays: script.size.relays,
            ..Report::default()
        };
        Ok(Self {
            script,
            setting,
            starter,
            population,
            plan,
            done: 0,
            held: Vec::new(),
            down: None,
            gone: None,
            configurations: 0,
            stand,
            network,
            hollows,
            real: None,
            reach,
            in_force: InForce::default(),
            report,
        })
    }

    fn source_of(&self, service: ServiceId) -> usize {
        self.population.region_of_service(service)
    }

    fn backend(&self, number: usize, state: State) -> Change {
        let service = self.population.backends[number].service;
        let key = Key { service, kind: Kind::Backend, name: Population::name(number) };
        let body = match state {
            State::Gone => Arc::from([]),
            State::Active | State::Draining => self.population.body(number, self.stand.port, now() / 1_000),
        };
        Change { key, state, body }
    }

    fn configuration(&mut self, service: ServiceId) -> Change {
        self.configurations += 1;
        let mut body = self.configurations.to_le_bytes().to_vec();
        body.resize(CONFIGURATION, b'.');
        let key = Key { service, kind: Kind::Configuration, name: "configuration".into() };
        Change { key, state: State::Active, body: body.into() }
    }

    /// Writes all changes, by source.
    async fn write(&mut self, changes: Vec<Change>, step: Option<usize>) -> Result<(), ScaleError> {
        let mut by_source: BTreeMap<usize, Vec<Change>> = BTreeMap::new();
        for change in changes {
            by_source.entry(self.source_of(change.key.service)).or_default().push(change);
        }
        for (source, changes) in by_source {
            self.network.write(source, changes, step).await?;
        }
        Ok(())
    }

    /// All backends are said, then all proxies start at once.
    async fn fill(&mut self) -> Result<(), ScaleError> {
        let all = (0..self.population.backends.len()).map(|number| self.backend(number, State::Active));
        let all = all.collect();
        self.write(all, None).await?;
        let began = now();
        let numbers: Vec<u32> = (0..self.population.hollow as u32).collect();
        self.start_anew(&numbers).await?;
        let behind = self.quiet().await?.1;
        if let Some(example) = behind {
            return Err(ScaleError::NotWhole(self.script.patience_s, example));
        }
        let took = (now() - began) as f64 / 1e6;
        let costs = self.hollows.costs().await?;
        self.report.filling = Taken::new(&costs.each, took);
        self.report.full_s = slowest(&costs.each, &numbers);
        self.check("at the beginning").await?;
        if self.script.size.real > 0 {
            let (population, seed) = (&self.population, self.script.seed);
            let machine = &self.setting.machine;
            let real = Real::start(population, &self.network, &self.starter, machine, seed).await?;
            self.stand.ask(real.proxies(), self.script.size.requests_per_s);
            self.real = Some(real);
        }
        self.hollows.begin().await
    }

    async fn start_anew(&mut self, numbers: &[u32]) -> Result<(), ScaleError> {
        let expected = |&number: &u32| {
            let scope = &self.population.proxies[number as usize].scope;
            (number, self.network.records(&self.population, scope))
        };
        let all: Vec<(u32, u32)> = numbers.iter().map(expected).collect();
        self.hollows.restart(all.into_iter()).await
    }

    /// Waits until all hollow proxies are as far as their sources; how long that took, and what one lacks that is not
    /// within the script's patience.
    async fn quiet(&mut self) -> Result<(f64, Option<String>), ScaleError> {
        let began = Instant::now();
        let heads = self.network.heads();
        loop {
            let (count, example) = self.hollows.behind(&heads).await?;
            let took = began.elapsed().as_secs_f64();
            if count == 0 {
                return Ok((took, None));
            }
            if took > self.script.patience_s {
                return Ok((took, Some(format!("{count} proxies; {}", example.unwrap_or_default()))));
            }
            sleep(ASK_INTERVAL).await;
        }
    }

    /// Compares what every hollow proxy holds with what its sources say, record by record. Whoever differs has until the
    /// script's patience is at its end.
    async fn check(&mut self, when: &str) -> Result<(usize, u64), ScaleError> {
        let began = Instant::now();
        let (mut proxies, mut records, mut again) = (0, 0, None);
        loop {
            let mut differ: BTreeMap<u32, Vec<String>> = BTreeMap::new();
            let (model, population) = (&self.network.model, &self.population);
            let first = again.is_none();
            let take = |number: u32, held: &[words::Held]| {
                let scope: BTreeSet<ServiceId> =
                    population.proxies[number as usize].scope.iter().copied().collect();
                let source_of = |service| population.region_of_service(service) as SourceId;
                let differences = compare(model, &scope, source_of, held);
                if first {
                    proxies += 1;
                    records += held.len() as u64;
                }
                if !differences.is_empty() {
                    let told = differences.iter().take(TOLD).map(ToString::to_string).collect();
                    differ.insert(number, told);
                }
            };
            self.hollows.dump(again, take).await?;
            let late = began.elapsed().as_secs_f64() > self.script.patience_s;
            if differ.is_empty() || late {
                for (number, differences) in differ {
                    let text = differences.join("; ");
                    self.report.breaks.push(format!("{when}: proxy {number} is not equal: {text}"));
                }
                return Ok((proxies, records));
            }
            again = Some(differ.into_keys().collect());
            sleep(5 * ASK_INTERVAL).await;
        }
    }

    /// Compares the list that each agent serves to its real proxy. Gives how many there are.
    async fn check_lists(&mut self, when: &str) -> Result<usize, ScaleError> {
        let Some(real) = &self.real else { return Ok(0) };
        let began = Instant::now();
        let (population, port) = (&self.population, self.stand.port);
        let source_of = |service| population.region_of_service(service) as SourceId;
        let address_of = |name: &str| {
            let number = name.strip_prefix('b').and_then(|number| number.parse().ok());
            number.map_or(String::new(), |number| Population::address(number, port).to_string())
        };
        let proxies = &population.proxies[population.hollow..];
        for (number, proxy) in proxies.iter().enumerate() {
            let scope: BTreeSet<ServiceId> = proxy.scope.iter().copied().collect();
            loop {
                let list = real.list(number).await?;
                let differ = compare_list(&self.network.model, &scope, source_of, address_of, &list);
                if differ.is_empty() {
                    break;
                }
                if began.elapsed().as_secs_f64() > self.script.patience_s {
                    let text = differ.iter().take(TOLD).cloned().collect::<Vec<_>>().join("; ");
                    self.report
                        .breaks
                        .push(format!("{when}: the list of agent {number} is not equal: {text}"));
                    break;
                }
                sleep(ASK_INTERVAL).await;
            }
        }
        Ok(proxies.len())
    }

    async fn step(&mut self, number: usize) -> Result<(), ScaleError> {
        let step = self.script.step[number];
        let name = format!("{number} {}", step.what.name());
        self.hollows.costs().await?;
        let cpu = |usage: &[(f64, u64)]| usage.iter().map(|(cpu, _)| *cpu).collect::<Vec<f64>>();
        let relay_cpu = |usage: &[(f64, u64, u64)]| -> Vec<(f64, u64)> {
            usage.iter().map(|(cpu, memory, _)| (*cpu, *memory)).collect()
        };
        let (hollow_before, relays_before) = (self.hollows.usage(), self.network.relay_usage());
        let (agents_before, sources_before) = (self.agent_usage(), self.network.source_usage());
        let began = Instant::now();
        let played = self.play_step(number, &step).await?;
        let seconds = began.elapsed().as_secs_f64();
        let (hollow_after, relays_after) = (self.hollows.usage(), self.network.relay_usage());
        let (agents_after, sources_after) = (self.agent_usage(), self.network.source_usage());
        let costs = self.hollows.costs().await?;
        let (quiet_s, behind) = self.quiet().await?;
        if let Some(example) = behind {
            self.report.breaks.push(format!("{name}: not as far as their sources: {example}"));
        }
        let compared = self.check(&name).await?;
        let lists_compared = self.check_lists(&name).await?;
        if let Some(from) = played.zone_from {
            self.reach.windows.push(Window { who: Who::Zone(step.which), from, to: now() });
        }
        let (tallies, forgotten) = self.hollows.tallies().await?;
        for (process, tallies) in tallies.iter().enumerate() {
            self.in_force.take(&self.network.model, process as u16, tallies);
        }
        if forgotten > 0 {
            self.report.breaks.push(format!("{name}: {forgotten} counts found no place"));
        }
        // What began anew late in the step is full only now.
        let after = self.hollows.costs().await?;
        let broken = after.breaks.iter().map(|(who, what)| format!("{name}: proxy {who}: {what}"));
        let broken: Vec<String> = broken.filter(|text| !self.seen(text)).collect();
        self.report.breaks.extend(broken);
        self.network.run()?;
        self.hollows.run()?;
        self.real.as_mut().map_or(Ok(()), Real::run)?;
        let count = costs.each.len().max(1) as f64;
        let hollow = Cost {
            cores: (hollow_after.0 - hollow_before.0) / seconds / count,
            memory: hollow_after.1.saturating_sub(costs.watchers) as f64 / count,
            ..Cost::default()
        };
        let took = |place: usize| {
            let before = relays_before.get(place).map_or(0, |usage| usage.2);
            (relays_after[place].2 - before) as f64 / seconds
        };
        let took: Vec<f64> = (0..relays_after.len()).map(took).collect();
        let anew = (!played.anew.is_empty()).then(|| (played.anew.len(), slowest(&after.each, &played.anew)));
        self.report.steps.push(StepRow {
            name,
            times: step.times,
            seconds,
            quiet_s,
            anew,
            lost: played.lost,
            taken: Taken::new(&costs.each, seconds),
            hollow,
            agents: Cost::new(&cpu(&agents_before), &agents_after, seconds),
            relays: Cost::new(&cpu(&relay_cpu(&relays_before)), &relay_cpu(&relays_after), seconds),
            relay_took: (
                took.iter().sum::<f64>() / took.len().max(1) as f64,
                took.iter().copied().fold(0.0, f64::max),
            ),
            sources: Cost::new(&cpu(&sources_before), &sources_after, seconds),
            compared,
            lists_compared,
            ..StepRow::default()
        });
        self.weigh()
    }

    /// A watcher tells all that it saw each time; the first time counts.
    fn seen(&self, text: &str) -> bool {
        let what = |text: &str| text.split_once(": ").map(|(_, what)| what.to_owned());
        self.report.breaks.iter().any(|known| what(known) == what(text))
    }

    fn agent_usage(&self) -> Vec<(f64, u64)> {
        self.real.as_ref().map(Real::agent_usage).unwrap_or_default()
    }

    /// All memory together, which must stay under its bound.
    fn weigh(&mut self) -> Result<(), ScaleError> {
        let relays: u64 = self.network.relay_usage().iter().map(|usage| usage.1).sum();
        let sources: u64 = self.network.source_usage().iter().map(|usage| usage.1).sum();
        let agents: u64 = self.agent_usage().iter().map(|usage| usage.1).sum();
        let proxies = self.real.as_ref().map_or(0, Real::proxies_memory);
        let own = crate::fleet::memory(std::process::id());
        let all = self.hollows.usage().1 + relays + sources + agents + proxies + own;
        self.report.memory = self.report.memory.max(all);
        if all > MAX_MEMORY {
            return Err(ScaleError::Memory(all / 1_000_000, MAX_MEMORY / 1_000_000));
        }
        Ok(())
    }

    /// Changes go on for as long as the step says, and something goes wrong within.
    async fn play_step(&mut self, number: usize, step: &Step) -> Result<Played, ScaleError> {
        let base: f64 = self.script.step[..number].iter().map(|step| step.seconds).sum();
        let moments = [Step::LEAD_S, Step::LEAD_S + step.for_s / 2.0, Step::LEAD_S + step.for_s];
        let (mut moment, mut played) = (0, Played::default());
        let began = Instant::now();
        loop {
            let passed = began.elapsed().as_secs_f64();
            while moments.get(moment).is_some_and(|&at| at <= passed) {
                self.fault(number, step, moment, &mut played).await?;
                moment += 1;
            }
            let upto = ((base + passed.min(step.seconds)) * 1e6) as u64;
            let mut due = if self.down.is_none() { std::mem::take(&mut self.held) } else { Vec::new() };
            while let Some(&(at, deed)) = self.plan.deeds.get(self.done).filter(|(at, _)| *at < upto) {
                debug_assert!(at < upto);
                self.done += 1;
                due.push(deed);
            }
            let changes = due.into_iter().filter_map(|deed| self.change(deed)).collect();
            self.write(changes, Some(number)).await?;
            if passed >= step.seconds && moment == moments.len() {
                return Ok(played);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// The change of a deed, unless its source is down (then it waits) or its zone is gone.
    fn change(&mut self, deed: Deed) -> Option<Change> {
        let (service, zone) = match deed {
            Deed::Backend { number, .. } => {
                let instance = self.population.backends[number];
                (instance.service, Some(instance.zone))
            }
            Deed::Configuration { service } => (service, None),
        };
        if self.down == Some(self.source_of(service)) {
            self.held.push(deed);
            return None;
        }
        match deed {
            _ if zone.is_some() && zone == self.gone => None,
            Deed::Backend { number, state } => Some(self.backend(number, state)),
            Deed::Configuration { service } => Some(self.configuration(service)),
        }
    }

    /// What goes wrong begins (moment 0), is half through (1), ends (2).
    async fn fault(
        &mut self,
        number: usize,
        step: &Step,
        moment: usize,
        played: &mut Played,
    ) -> Result<(), ScaleError> {
        let which = step.which;
        match (step.what, moment) {
            (What::RelayKilled, 0) => self.network.relays[which].kill(),
            (What::RelayKilled, 2) => self.network.relays[which].start(&self.starter).await?,
            (What::RelayStalled, 0 | 2) => self.network.relays[which].stall(moment == 0),
            (What::RegionCut, 0) => {
                self.network.cut(which, true);
                self.window(Who::Region(which));
            }
            (What::RegionCut, 2) => {
                self.network.cut(which, false);
                self.over();
            }
            (What::SubscribersStopped, 0) => {
                self.hollows.stall(which, true);
                self.window(Who::Process(which));
            }
            (What::SubscribersStopped, 2) => {
                self.hollows.stall(which, false);
                self.over();
            }
            (What::SourceRestarted, 0) => self.network.keep(which)?,
            (What::SourceRestarted, 1) => {
                self.last_words(which, number).await?;
                self.network.kill_source(which)?;
                self.down = Some(which);
            }
            (What::SourceRestarted, 2) => {
                match self.network.restart_source(which, &self.starter).await? {
                    Ok(lost) => played.lost = lost,
                    Err(disagreement) => {
                        let text =
                            format!("step {number}: source {which} has what was never said: {disagreement}");
                        self.report.breaks.push(text);
                    }
                }
                self.down = None;
            }
            (What::ZoneLost, 0) => {
                played.zone_from = Some(now());
                self.gone = Some(which);
                let numbers = self.proxies_of(which);
                self.hollows.end(numbers.into_iter()).await?;
                self.zone(which, State::Gone, number).await?;
            }
            (What::ZoneLost, 2) => {
                self.gone = None;
                self.zone(which, State::Active, number).await?;
                played.anew = self.proxies_of(which);
                self.start_anew(&played.anew).await?;
            }
            (What::ZoneRestarted, 0) => {
                played.zone_from = Some(now());
                played.anew = self.proxies_of(which);
                self.start_anew(&played.anew).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Somebody can't be reached from now on.
    fn window(&mut self, who: Who) {
        self.reach.windows.push(Window { who, from: now(), to: u64::MAX });
    }

    /// Whoever could not be reached last can be from now on.
    fn over(&mut self) {
        if let Some(window) = self.reach.windows.last_mut() {
            window.to = now();
        }
    }

    fn proxies_of(&self, zone: usize) -> Vec<u32> {
        let hollow = self.population.proxies[..self.population.hollow].iter().enumerate();
        hollow.filter(|(_, proxy)| proxy.zone == zone).map(|(number, _)| number as u32).collect()
    }

    /// All backends of a zone go, or come back.
    async fn zone(&mut self, zone: usize, state: State, step: usize) -> Result<(), ScaleError> {
        let of_zone =
            (0..self.population.backends.len()).filter(|&n| self.population.backends[n].zone == zone);
        let changes = of_zone.map(|number| self.backend(number, state)).collect();
        self.write(changes, Some(step)).await
    }

    /// What a source says just before it is killed, and won't know afterwards: drains, and configurations; of services
    /// that the first hollow proxy has in scope.
    async fn last_words(&mut self, source: usize, step: usize) -> Result<(), ScaleError> {
        let of_source = |service: &ServiceId| self.source_of(*service) == source;
        let scope = self.population.proxies.first().map_or(&[][..], |proxy| &proxy.scope);
        let services: Vec<ServiceId> = scope.iter().copied().filter(of_source).take(LAST_WORDS).collect();
        let backends = (0..self.population.backends.len())
            .filter(|&number| services.contains(&self.population.backends[number].service))
            .take(LAST_WORDS);
        let mut changes: Vec<Change> = backends.map(|number| self.backend(number, State::Draining)).collect();
        for service in services {
            changes.push(self.configuration(service));
        }
        self.write(changes, Some(step)).await
    }

    async fn end(mut self) -> Result<Report, ScaleError> {
        self.stand.rest();
        let all = self.in_force.changes(&self.network.model, &self.reach);
        for number in 0..self.report.steps.len() {
            let in_force = summary(&all, number, |reached| reached.after);
            let written = summary(&all, number, |reached| reached.after_written);
            let row = &mut self.report.steps[number];
            (row.in_force, row.written) = (in_force, written);
            if in_force.never > 0 && self.script.plant == Plant::None {
                let text = format!("{}: {} changes never came into force", row.name, in_force.never);
                self.report.breaks.push(text);
            }
        }
        let strays = strays(&self.stand.arrivals(), &self.network.model, &self.population, &self.reach);
        self.report.breaks.extend(strays);
        self.report.requests = self.stand.requests();
        for &backends in &self.setting.lists {
            let row = lists::measure(self.starter.folder, &self.setting.machine, backends).await?;
            self.report.lists.push(row);
        }
        Ok(self.report)
    }
}

/// How long the slowest of these took from its start until it held nearly all, seconds; below 0: one never did.
fn slowest(each: &[words::HollowCost], numbers: &[u32]) -> f64 {
    let numbers: BTreeSet<u32> = numbers.iter().copied().collect();
    let times = each.iter().filter(|cost| numbers.contains(&cost.number)).map(|cost| match cost.full {
        (_, 0) => -1.0,
        (from, to) => to.saturating_sub(from) as f64 / 1e6,
    });
    let times: Vec<f64> = times.collect();
    if times.contains(&-1.0) { -1.0 } else { times.into_iter().fold(0.0, f64::max) }
}
