#pragma once

#include "cluster.h"

#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace harness {

// Connects to "IP:port"; returns the socket, or -1 on failure.
int connectTo(const std::string &address);

// Sends all bytes; returns false if the peer closed the connection.
bool sendAll(int fd, const std::string &bytes);

// Reads until `count` complete HTTP responses have arrived, the peer closes the connection, or no
// data arrives for `seconds`. Returns all bytes read.
std::string readResponses(int fd, std::size_t count, double seconds = 5);

// Returns the bytes of an HTTP POST request.
std::string formatPost(const std::string &path, const std::string &body,
                       const std::string &customer = "app");

// Returns the value of the "echo" field that the stand-ins return for a request body.
std::string expectedEcho(const std::string &body);

// Outcomes of the queries of a load.
struct QueryStats
{
    // Responses by result code.
    std::map<int, int> codes;
    // Queries without a valid response.
    int noResponse = 0;
    // Parts that belong to another query or another group.
    int mismatched = 0;
    // Parts of another snapshot than the response's.
    int mixedSnapshots = 0;
    // Responses whose coverage contradicts their list of missing groups.
    int misstatedCoverage = 0;
    // Responses that miss some groups.
    int partial = 0;
    std::vector<double> latenciesMs;
    // Texts of the faulty responses.
    std::vector<std::string> problems;
};

// Checks the response to one query and records the findings in `stats`: each part must echo this
// query's body, all parts must be of one snapshot, and the coverage must be correct.
void checkQueryResponse(const TransferResult &result, const std::string &body, QueryStats &stats);

// Threads that send queries as callers do: each obtains the entry points from a host, uses them for
// their TTL, opens a new connection for each query, and removes an address that gave no response.
class QueryLoad
{
public:
    QueryLoad(const Cluster &cluster, int threads, std::string service, int deadlineMs = 1000);
    ~QueryLoad();

    // Stops the threads and returns their statistics.
    QueryStats finish();

    // Queries completed so far, with or without a response.
    int responseCount() const { return m_responseCount; }

private:
    void run(int number);
    std::vector<std::string> entryPoints(std::string &control, double &ttlSeconds);

    const Cluster &m_cluster;
    std::string m_service;
    int m_deadlineMs;
    std::vector<std::string> m_controls;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_responseCount{0};
    std::mutex m_mutex;
    QueryStats m_stats;
    std::vector<std::thread> m_threads;
};

} // namespace harness
