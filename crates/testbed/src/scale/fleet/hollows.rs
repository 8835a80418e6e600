//! The hollow processes as the rig holds them: what it tells them, what it asks.

use super::ScaleError;
use super::programs::Program;
use super::words::{self, Answer, Held, Hollow, HollowCost, MAX_WORDS, Order, Plant, Tally};
use crate::fleet::Folder;
use control_plane::record::{SourceId, Version};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long a hollow process may take for an answer: all records of a thousand proxies, on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Hollow proxies of one order to start: their scopes stay far below the longest frame.
const PART: usize = 500;

struct House {
    program: Program,
    stream: TcpStream,
}

impl House {
    async fn say(&mut self, order: &Order) -> Result<(), ScaleError> {
        let failed = |e| ScaleError::Words(self.program.name.clone(), e);
        words::write(&mut self.stream, order).await.map_err(failed)?;
        Ok(())
    }

    async fn hear(&mut self) -> Result<Answer, ScaleError> {
        let name = self.program.name.clone();
        let failed = move |e| ScaleError::Words(name.clone(), e);
        let read = timeout(ANSWER_TIMEOUT, words::read(&mut self.stream, MAX_WORDS)).await;
        if let Some((_, answer)) = read.map_err(|e| failed(e.into()))?.map_err(&failed)? {
            Ok(answer)
        } else {
            self.program.runs()?;
            Err(failed(std::io::ErrorKind::UnexpectedEof.into()))
        }
    }
}

/// All of them.
pub struct Hollows {
    houses: Vec<House>,
}

/// What all hollow proxies cost, since it was asked last.
#[derive(Default)]
pub struct Costs {
    /// By hollow proxy.
    pub each: Vec<HollowCost>,
    /// What the watchers hold, bytes.
    pub watchers: u64,
    /// What was broken: who and what.
    pub breaks: Vec<(u32, String)>,
}

impl Hollows {
    /// Starts so many processes.
    ///
    /// # Errors
    /// Where one does not come up.
    pub async fn start(keeper: &Path, folder: &Folder, processes: usize) -> Result<Self, ScaleError> {
        let mut houses = Vec::new();
        for number in 0..processes {
            let name = format!("hollow-{number}");
            let failed = |e| ScaleError::Start(name.clone(), e);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.map_err(failed)?;
            let rig: SocketAddr = listener.local_addr().map_err(failed)?;
            let arguments = ["scale".into(), "hollow".into(), rig.to_string().into()];
            let mut program = Program::start(keeper, keeper, &arguments, folder, &name)?;
            let accepted = timeout(ANSWER_TIMEOUT, listener.accept()).await;
            let Ok(accepted) = accepted else {
                program.runs()?;
                return Err(failed(std::io::ErrorKind::TimedOut.into()));
            };
            let (stream, _) = accepted.map_err(failed)?;
            stream.set_nodelay(true).map_err(failed)?;
            houses.push(House { program, stream });
        }
        Ok(Self { houses })
    }

    /// The process in which a hollow proxy lives.
    #[must_use]
    pub fn house(&self, number: u32) -> usize {
        number as usize % self.houses.len()
    }

    async fn all(&mut self, order: &Order) -> Result<Vec<Answer>, ScaleError> {
        for house in &mut self.houses {
            house.say(order).await?;
        }
        let mut answers = Vec::new();
        for house in &mut self.houses {
            answers.push(house.hear().await?);
        }
        Ok(answers)
    }

    /// Tells each process who lives in it; nobody begins yet. The first one has the fault that is planted.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn settle(&mut self, hollows: Vec<Hollow>, plant: Plant) -> Result<(), ScaleError> {
        let mut by_house: Vec<Vec<Hollow>> = self.houses.iter().map(|_| Vec::new()).collect();
        for hollow in hollows {
            let house = self.house(hollow.number);
            by_house[house].push(hollow);
        }
        for (number, (house, hollows)) in self.houses.iter_mut().zip(by_house).enumerate() {
            let plant = if number == 0 { plant } else { Plant::None };
            for part in hollows.chunks(PART) {
                house.say(&Order::Start { hollows: part.to_vec(), plant }).await?;
                house.hear().await?;
            }
        }
        Ok(())
    }

    fn dealt<T>(&self, numbers: impl Iterator<Item = T>, number: impl Fn(&T) -> u32) -> Vec<Vec<T>> {
        let mut dealt: Vec<Vec<T>> = self.houses.iter().map(|_| Vec::new()).collect();
        for one in numbers {
            dealt[self.house(number(&one))].push(one);
        }
        dealt
    }

    /// Starts these anew, each with the number of records that it will hold.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn restart(&mut self, numbers: impl Iterator<Item = (u32, u32)>) -> Result<(), ScaleError> {
        let dealt = self.dealt(numbers, |one| one.0);
        for (house, numbers) in self.houses.iter_mut().zip(dealt) {
            house.say(&Order::Restart { numbers }).await?;
        }
        for house in &mut self.houses {
            house.hear().await?;
        }
        Ok(())
    }

    /// Ends these.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn end(&mut self, numbers: impl Iterator<Item = u32>) -> Result<(), ScaleError> {
        let dealt = self.dealt(numbers, |&one| one);
        for (house, numbers) in self.houses.iter_mut().zip(dealt) {
            house.say(&Order::End { numbers }).await?;
        }
        for house in &mut self.houses {
            house.hear().await?;
        }
        Ok(())
    }

    /// From now on what comes into force counts, and a planted fault may show.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn begin(&mut self) -> Result<(), ScaleError> {
        self.all(&Order::Begin).await.map(drop)
    }

    /// How many are not as far as their sources, and what one of them lacks.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn behind(
        &mut self,
        heads: &BTreeMap<SourceId, Version>,
    ) -> Result<(u32, Option<String>), ScaleError> {
        let heads = heads.iter().map(|(&source, &head)| (source, head)).collect();
        let (mut sum, mut first) = (0, None);
        for answer in self.all(&Order::Behind { heads }).await? {
            if let Answer::Behind { count, example } = answer {
                sum += count;
                first = first.or(example);
            }
        }
        Ok((sum, first))
    }

    /// Reads what they hold, of these or of all that live, one after another.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn dump(
        &mut self,
        numbers: Option<Vec<u32>>,
        mut take: impl FnMut(u32, &[Held]),
    ) -> Result<(), ScaleError> {
        let order = Order::Dump { numbers };
        for house in &mut self.houses {
            house.say(&order).await?;
            while let Answer::Held { number, records } = house.hear().await? {
                take(number, &records);
            }
        }
        Ok(())
    }

    /// What came into force since it was asked last, by process; and how much found no place.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn tallies(&mut self) -> Result<(Vec<Vec<Tally>>, u64), ScaleError> {
        let (mut all, mut lost) = (Vec::new(), 0);
        for answer in self.all(&Order::Tallies).await? {
            if let Answer::Tallies { tallies, forgotten } = answer {
                all.push(tallies);
                lost += forgotten;
            }
        }
        Ok((all, lost))
    }

    /// What they cost since it was asked last.
    ///
    /// # Errors
    /// Where a process is gone.
    pub async fn costs(&mut self) -> Result<Costs, ScaleError> {
        let mut sum = Costs::default();
        for answer in self.all(&Order::Costs).await? {
            if let Answer::Costs { each, watchers, breaks } = answer {
                sum.each.extend(each);
                sum.watchers += watchers;
                sum.breaks.extend(breaks);
            }
        }
        Ok(sum)
    }

    /// A process stands still, or goes on.
    pub fn stall(&mut self, process: usize, stalled: bool) {
        if let Some(house) = self.houses.get_mut(process) {
            house.program.stall(stalled);
        }
    }

    /// Processor time of all so far, seconds, and their memory, bytes.
    #[must_use]
    pub fn usage(&self) -> (f64, u64) {
        let programs = self.houses.iter().map(|house| &house.program);
        programs.fold((0.0, 0), |(cpu, memory), p| (cpu + p.cpu_s(), memory + p.memory()))
    }

    /// Whether all of them run.
    ///
    /// # Errors
    /// The first that has ended.
    pub fn run(&mut self) -> Result<(), ScaleError> {
        self.houses.iter_mut().try_for_each(|house| house.program.runs())
    }
}
