//! What is believed of each member, and what of it is still passed on.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Of the logarithm of the fleet's size: how often news is passed on by each who has it (SWIM's lambda).
const PASS_ON: f64 = 4.0;

/// In the order in which one overrides the other at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// One line of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    pub name: String,
    pub address: SocketAddr,
    pub life: u64,
    pub incarnation: u32,
    pub state: State,
    /// The life of who first suspects it; 0 in other news.
    pub accuser: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub life: u64,
    pub incarnation: u32,
    pub state: State,
    pub since: Duration,
}

impl Member {
    pub fn news(&self, accuser: u64) -> News {
        let &Member {
            address,
            life,
            incarnation,
            state,
            ..
        } = self;
        News {
            name: self.name.to_string(),
            address,
            life,
            incarnation,
            state,
            accuser,
        }
    }

    /// Whether news overrides what is believed.
    pub fn older_than(&self, news: &News) -> bool {
        (self.incarnation, self.state) < (news.incarnation, news.state)
    }
}

/// News that is passed on with other datagrams, the least told first.
#[derive(Default)]
pub struct Rumours {
    all: BTreeMap<Rc<str>, (u32, News)>,
    /// How often each was told, for the order.
    order: BTreeSet<(u32, Rc<str>)>,
}

impl Rumours {
    pub fn add(&mut self, news: News) {
        let name: Rc<str> = Rc::from(news.name.as_str());
        self.forget(&name);
        self.order.insert((0, name.clone()));
        self.all.insert(name, (0, news));
    }

    /// Passes on what `fits`, each as often as a fleet of `size` needs.
    pub fn pass_on(&mut self, size: usize, mut fits: impl FnMut(&News) -> bool) {
        let most = (PASS_ON * ((size + 1) as f64).log10().ceil()).max(1.0) as u32;
        let mut told = Vec::new();
        for key in &self.order {
            match self.all.get(&key.1) {
                Some((_, news)) if fits(news) => told.push(key.clone()),
                Some(_) | None => break,
            }
        }
        for key in told {
            self.order.remove(&key);
            let (told, name) = (key.0 + 1, key.1);
            if told >= most {
                self.all.remove(&name);
            } else {
                if let Some(of) = self.all.get_mut(&name) {
                    of.0 = told;
                }
                self.order.insert((told, name));
            }
        }
    }

    pub fn forget(&mut self, name: &str) {
        if let Some((told, _)) = self.all.remove(name) {
            self.order.remove(&(told, Rc::from(name)));
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }
}
