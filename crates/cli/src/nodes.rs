//! The nodes that a command asks.

use std::{future::Future, net::SocketAddr};

use awc::Client;
use clap::Args;
use futures_util::future::join_all;

use crate::{
    client::{NodeClient, http},
    error::{CliError, NodeError},
    output::Exit,
};

/// Nodes that are asked.
#[derive(Clone, Debug, Args)]
pub(crate) struct Nodes {
    /// Admin addresses of the nodes, as <ip>:<port>, separated by commas.
    #[arg(
        long,
        env = "WAGTAILLEVER_NODES",
        value_delimiter = ',',
        value_name = "IP:PORT",
        global = true
    )]
    nodes: Vec<SocketAddr>,
}

/// What the nodes answered, in the order in which they were named.
pub(crate) struct Answers<T> {
    /// Answers of the nodes that were reached.
    pub(crate) found: Vec<(SocketAddr, T)>,
    /// Nodes that gave no answer, and why.
    pub(crate) failed: Vec<NodeError>,
}

impl Nodes {
    /// Asks all nodes at once; a node that fails does not hide the others.
    ///
    /// # Errors
    ///
    /// Returns an error when no node is named or none answers.
    pub(crate) async fn ask<T, F>(
        &self,
        question: impl Fn(Client, SocketAddr) -> F,
    ) -> Result<Answers<T>, CliError>
    where
        F: Future<Output = Result<T, NodeError>>,
    {
        if self.nodes.is_empty() {
            return Err(CliError::NoNodes);
        }
        let client = http();
        let answers = self
            .nodes
            .iter()
            .map(|&node| question(client.clone(), node));
        let answers = join_all(answers).await;
        let mut sorted = Answers {
            found: Vec::new(),
            failed: Vec::new(),
        };
        for (&node, answer) in self.nodes.iter().zip(answers) {
            match answer {
                Ok(answer) => sorted.found.push((node, answer)),
                Err(err) => sorted.failed.push(err),
            }
        }
        sorted.report();
        if sorted.found.is_empty() {
            return Err(CliError::NoneReached {
                count: self.nodes.len(),
            });
        }
        Ok(sorted)
    }

    /// Reads the same path from all nodes.
    ///
    /// # Errors
    ///
    /// Returns an error when no node is named or none answers.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Answers<T>, CliError> {
        self.ask(|client, node| async move { NodeClient::new(&client, node).get(path).await })
            .await
    }
}

impl<T> Answers<T> {
    /// Returns how a command ends that has shown these answers.
    pub(crate) fn exit(&self) -> Exit {
        if self.failed.is_empty() {
            return Exit::Done;
        }
        Exit::Partial
    }

    fn report(&self) {
        for err in &self.failed {
            eprintln!("error: {err}");
        }
    }
}
