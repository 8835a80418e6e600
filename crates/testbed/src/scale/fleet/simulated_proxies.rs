//! The testbed's side of the processes of simulated proxies: starts them, sends commands and receives
//! responses.

use super::ScaleError;
use super::messages::{
    self, Command, InjectedFault, MAX_MESSAGE_BYTES, ReplicaRecord, Response, SimulatedProxyCost,
    SimulatedProxySpec, Tally,
};
use super::programs::Program;
use crate::fleet::TempFolder;
use control_plane::record::{SourceId, Version};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Upper bound of the time to the next response. It is long, because a process reads the replicas of a
/// thousand proxies on a busy machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Simulated proxies in one command: the frame with their scopes stays far below [`MAX_MESSAGE_BYTES`].
const MAX_PROXIES_PER_COMMAND: usize = 500;

struct HostProcess {
    program: Program,
    stream: TcpStream,
}

impl HostProcess {
    async fn send(&mut self, command: &Command) -> Result<(), ScaleError> {
        let failed = |e| ScaleError::Connection(self.program.name.clone(), e);
        messages::write(&mut self.stream, command).await.map_err(failed)?;
        Ok(())
    }

    async fn receive(&mut self) -> Result<Response, ScaleError> {
        let name = self.program.name.clone();
        let failed = move |e| ScaleError::Connection(name.clone(), e);
        let read = timeout(RESPONSE_TIMEOUT, messages::read(&mut self.stream, MAX_MESSAGE_BYTES)).await;
        if let Some((_, response)) = read.map_err(|e| failed(e.into()))?.map_err(&failed)? {
            Ok(response)
        } else {
            self.program.check_running()?;
            Err(failed(std::io::ErrorKind::UnexpectedEof.into()))
        }
    }
}

/// All processes of simulated proxies.
pub struct SimulatedProxies {
    processes: Vec<HostProcess>,
}

/// Costs of all simulated proxies since the last request.
#[derive(Default)]
pub struct Costs {
    /// One entry for each simulated proxy.
    pub proxies: Vec<SimulatedProxyCost>,
    /// Memory of the version monitors, bytes.
    pub monitor_memory_bytes: u64,
    /// All violations found so far, each with the proxy's number.
    pub violations: Vec<(u32, String)>,
}

impl SimulatedProxies {
    /// Starts this many processes.
    ///
    /// # Errors
    /// If a process does not start or does not connect to the testbed.
    pub async fn start(
        testbed: &Path,
        folder: &TempFolder,
        process_count: usize,
    ) -> Result<Self, ScaleError> {
        let mut processes = Vec::new();
        for number in 0..process_count {
            let name = format!("hollow-{number}");
            let failed = |e| ScaleError::Start(name.clone(), e);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(failed)?;
            let testbed_address: SocketAddr = listener.local_addr().map_err(failed)?;
            let arguments = ["scale".into(), "hollow".into(), testbed_address.to_string().into()];
            let mut program = Program::start(testbed, testbed, &arguments, folder, &name)?;
            let accepted = timeout(RESPONSE_TIMEOUT, listener.accept()).await;
            let Ok(accepted) = accepted else {
                program.check_running()?;
                return Err(failed(std::io::ErrorKind::TimedOut.into()));
            };
            let (stream, _) = accepted.map_err(failed)?;
            stream.set_nodelay(true).map_err(failed)?;
            processes.push(HostProcess { program, stream });
        }
        Ok(Self { processes })
    }

    /// The index of the process that hosts this simulated proxy.
    #[must_use]
    pub fn process(&self, number: u32) -> usize {
        number as usize % self.processes.len()
    }

    async fn request_all(&mut self, command: &Command) -> Result<Vec<Response>, ScaleError> {
        for process in &mut self.processes {
            process.send(command).await?;
        }
        let mut responses = Vec::new();
        for process in &mut self.processes {
            responses.push(process.receive().await?);
        }
        Ok(responses)
    }

    /// Assigns proxies to processes without starting them. The proxy with the smallest number of the first
    /// process has the injected fault.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn assign(
        &mut self,
        specs: Vec<SimulatedProxySpec>,
        fault: InjectedFault,
    ) -> Result<(), ScaleError> {
        let mut by_process: Vec<Vec<SimulatedProxySpec>> =
            self.processes.iter().map(|_| Vec::new()).collect();
        for spec in specs {
            let process = self.process(spec.number);
            by_process[process].push(spec);
        }
        for (number, (process, specs)) in self.processes.iter_mut().zip(by_process).enumerate() {
            let fault = if number == 0 { fault } else { InjectedFault::None };
            for part in specs.chunks(MAX_PROXIES_PER_COMMAND) {
                process.send(&Command::Start { proxies: part.to_vec(), fault }).await?;
                process.receive().await?;
            }
        }
        Ok(())
    }

    fn partition_by_process<T>(
        &self,
        numbers: impl Iterator<Item = T>,
        number: impl Fn(&T) -> u32,
    ) -> Vec<Vec<T>> {
        let mut by_process: Vec<Vec<T>> = self.processes.iter().map(|_| Vec::new()).collect();
        for one in numbers {
            by_process[self.process(number(&one))].push(one);
        }
        by_process
    }

    /// Restarts the proxies with these numbers, with an empty replica. Each entry has the number of records
    /// of the complete replica.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn restart(&mut self, numbers: impl Iterator<Item = (u32, u32)>) -> Result<(), ScaleError> {
        let by_process = self.partition_by_process(numbers, |one| one.0);
        for (process, numbers) in self.processes.iter_mut().zip(by_process) {
            process.send(&Command::Restart { numbers }).await?;
        }
        for process in &mut self.processes {
            process.receive().await?;
        }
        Ok(())
    }

    /// Stops the proxies with these numbers, and discards their replicas.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn stop(&mut self, numbers: impl Iterator<Item = u32>) -> Result<(), ScaleError> {
        let by_process = self.partition_by_process(numbers, |&one| one);
        for (process, numbers) in self.processes.iter_mut().zip(by_process) {
            process.send(&Command::Stop { numbers }).await?;
        }
        for process in &mut self.processes {
            process.receive().await?;
        }
        Ok(())
    }

    /// Discards the counts so far, counts the updates of all running proxies from now on, and arms the
    /// injected fault.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn start_counting(&mut self) -> Result<(), ScaleError> {
        self.request_all(&Command::StartCounting).await.map(drop)
    }

    /// Returns the number of proxies that lag behind these positions, and a description of one of them.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn behind(
        &mut self,
        heads: &BTreeMap<SourceId, Version>,
    ) -> Result<(u32, Option<String>), ScaleError> {
        let heads = heads.iter().map(|(&source, &head)| (source, head)).collect();
        let (mut sum, mut first) = (0, None);
        for response in self.request_all(&Command::Behind { heads }).await? {
            if let Response::Behind { count, example } = response {
                sum += count;
                first = first.or(example);
            }
        }
        Ok((sum, first))
    }

    /// Passes the replicas of the proxies with these numbers, or of all running ones, to `visit`, one after
    /// another.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn read_replicas(
        &mut self,
        numbers: Option<Vec<u32>>,
        mut visit: impl FnMut(u32, &[ReplicaRecord]),
    ) -> Result<(), ScaleError> {
        let command = Command::ReadReplicas { numbers };
        for process in &mut self.processes {
            process.send(&command).await?;
            while let Response::Records { number, records } = process.receive().await? {
                visit(number, &records);
            }
        }
        Ok(())
    }

    /// Returns the updates since the last request, by process, and the number of updates that exceeded the
    /// bound of the tallies.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn take_tallies(&mut self) -> Result<(Vec<Vec<Tally>>, u64), ScaleError> {
        let (mut by_process, mut total_uncounted) = (Vec::new(), 0);
        for response in self.request_all(&Command::Tallies).await? {
            if let Response::Tallies { tallies, uncounted } = response {
                by_process.push(tallies);
                total_uncounted += uncounted;
            }
        }
        Ok((by_process, total_uncounted))
    }

    /// Returns the costs since the last request, and all violations found so far.
    ///
    /// # Errors
    /// If a process has exited or does not respond.
    pub async fn take_costs(&mut self) -> Result<Costs, ScaleError> {
        let mut sum = Costs::default();
        for response in self.request_all(&Command::Costs).await? {
            if let Response::Costs { proxies, monitor_memory_bytes, violations } = response {
                sum.proxies.extend(proxies);
                sum.monitor_memory_bytes += monitor_memory_bytes;
                sum.violations.extend(violations);
            }
        }
        Ok(sum)
    }

    /// Suspends the process with this index, or resumes it.
    pub fn set_suspended(&mut self, process: usize, suspended: bool) {
        if let Some(process) = self.processes.get_mut(process) {
            process.program.set_suspended(suspended);
        }
    }

    /// Total processor time so far (seconds) and memory (bytes) of all processes.
    #[must_use]
    pub fn usage(&self) -> (f64, u64) {
        let programs = self.processes.iter().map(|process| &process.program);
        programs.fold((0.0, 0), |(cpu, memory), p| (cpu + p.cpu_s(), memory + p.memory()))
    }

    /// Checks that all processes are running.
    ///
    /// # Errors
    /// The first process that has exited.
    pub fn check_running(&mut self) -> Result<(), ScaleError> {
        self.processes.iter_mut().try_for_each(|process| process.program.check_running())
    }
}
