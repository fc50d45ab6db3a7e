//! Concurrent queries to several nodes.

use std::{future::Future, net::SocketAddr};

use awc::Client;
use clap::Args;
use futures_util::future::join_all;

use crate::{
    client::{NodeClient, http_client},
    error::{CliError, NodeError},
    output::Exit,
};

/// Nodes to query.
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

/// Answers of the nodes, in the order of the node arguments.
pub(crate) struct Answers<T> {
    /// Decoded answers, with the addresses of the nodes.
    pub(crate) succeeded: Vec<(SocketAddr, T)>,
    /// Errors of the nodes that gave no valid answer.
    pub(crate) failed: Vec<NodeError>,
}

impl Nodes {
    /// Queries all nodes concurrently and prints the errors of the nodes that fail.
    ///
    /// # Errors
    ///
    /// Returns an error if no node is given or none answers.
    pub(crate) async fn query<T, F>(
        &self,
        request: impl Fn(Client, SocketAddr) -> F,
    ) -> Result<Answers<T>, CliError>
    where
        F: Future<Output = Result<T, NodeError>>,
    {
        if self.nodes.is_empty() {
            return Err(CliError::NoNodes);
        }
        let client = http_client();
        let requests = self.nodes.iter().map(|&node| request(client.clone(), node));
        let answers = join_all(requests).await;
        let mut outcome = Answers {
            succeeded: Vec::new(),
            failed: Vec::new(),
        };
        for (&node, answer) in self.nodes.iter().zip(answers) {
            match answer {
                Ok(answer) => outcome.succeeded.push((node, answer)),
                Err(err) => outcome.failed.push(err),
            }
        }
        outcome.print_errors();
        if outcome.succeeded.is_empty() {
            return Err(CliError::NoAnswers {
                count: self.nodes.len(),
            });
        }
        Ok(outcome)
    }

    /// Sends a GET request for a path to all nodes.
    ///
    /// # Errors
    ///
    /// Returns an error if no node is given or none answers.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Answers<T>, CliError> {
        self.query(|client, node| async move { NodeClient::new(&client, node).get(path).await })
            .await
    }
}

impl<T> Answers<T> {
    /// Returns the exit status of a command that prints these answers.
    pub(crate) fn exit(&self) -> Exit {
        if self.failed.is_empty() {
            return Exit::Success;
        }
        Exit::Partial
    }

    fn print_errors(&self) {
        for err in &self.failed {
            eprintln!("error: {err}");
        }
    }
}
