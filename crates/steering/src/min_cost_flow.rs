//! Minimum-cost flow by successive shortest paths.

use std::collections::VecDeque;

/// An edge; the next one in the list is its reverse.
#[derive(Clone, Copy, Debug)]
struct Edge {
    to: usize,
    capacity: u64,
    cost: i64,
}

/// A network with edges of limited capacity and a cost for each unit of flow.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    edges: Vec<Edge>,
    outgoing: Vec<Vec<usize>>,
}

impl Network {
    pub(crate) fn new(nodes: usize) -> Network {
        Network {
            edges: Vec::new(),
            outgoing: vec![Vec::new(); nodes],
        }
    }

    /// Adds an edge and returns its identifier. Costs may be negative if no cycle is.
    pub(crate) fn add(&mut self, from: usize, to: usize, capacity: u64, cost: i64) -> usize {
        let id = self.edges.len();
        self.edges.push(Edge { to, capacity, cost });
        self.edges.push(Edge {
            to: from,
            capacity: 0,
            cost: -cost,
        });
        self.outgoing[from].push(id);
        self.outgoing[to].push(id + 1);
        id
    }

    /// Sends as much as possible at the lowest cost. Among paths of equal cost, the edges that
    /// were added first decide, so that equal networks get equal flows.
    pub(crate) fn solve(&mut self, source: usize, sink: usize) {
        while let Some(path) = self.shortest_path(source, sink) {
            let flow = path.iter().map(|id| self.edges[*id].capacity).min();
            for id in path {
                let flow = flow.unwrap_or_default();
                self.edges[id].capacity -= flow;
                self.edges[id ^ 1].capacity += flow;
            }
        }
    }

    /// Flow on an edge.
    pub(crate) fn flow(&self, id: usize) -> u64 {
        self.edges[id ^ 1].capacity
    }

    fn shortest_path(&self, source: usize, sink: usize) -> Option<Vec<usize>> {
        let nodes = self.outgoing.len();
        let mut costs = vec![i64::MAX; nodes];
        let mut last = vec![usize::MAX; nodes];
        let mut queued = vec![false; nodes];
        let mut queue = VecDeque::from([source]);
        costs[source] = 0;
        while let Some(node) = queue.pop_front() {
            queued[node] = false;
            for &id in &self.outgoing[node] {
                let edge = self.edges[id];
                let cost = costs[node].saturating_add(edge.cost);
                if edge.capacity == 0 || cost >= costs[edge.to] {
                    continue;
                }
                (costs[edge.to], last[edge.to]) = (cost, id);
                if !queued[edge.to] {
                    queued[edge.to] = true;
                    queue.push_back(edge.to);
                }
            }
        }
        let mut path = Vec::new();
        let mut node = sink;
        while node != source {
            let id = last.get(node).copied().filter(|id| *id != usize::MAX)?;
            path.push(id);
            node = self.edges[id ^ 1].to;
        }
        Some(path)
    }
}
