#pragma once

#include "http.h"
#include "record.h"
#include "router.h"
#include "store.h"

#include <atomic>
#include <chrono>
#include <list>
#include <string>
#include <thread>

namespace review {

/// A desired state with a route for bookings, which may run once, and one for reads.
std::string bookingConfiguration(int version);

/// A booking server: registers and beats as the pages say, and answers each request after its work.
class BookingServer
{
public:
    /// `drain_ms` of the site's sheet, in seconds.
    static constexpr double DrainBound = 2;

    BookingServer(PlatformStore &store, Record &record, int number, const std::string &ip);
    ~BookingServer();
    BookingServer(const BookingServer &) = delete;
    BookingServer &operator=(const BookingServer &) = delete;

    /// Requests that arrived later than the bound after the ack of `draining`.
    int lateArrivals() const { return m_lateArrivals; }

    /// Reports `draining`; the store's answer is the ack.
    void drain();

    /// Leaves: no new connection, and no entry.
    void leave();

private:
    void beat();
    bool serve(int socket, const HttpRequest &request);

    PlatformStore &m_store;
    Record &m_record;
    std::string m_id;
    long long m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_isDraining{false};
    std::atomic<double> m_drainAck{0};
    std::atomic<int> m_lateArrivals{0};
    std::atomic<bool> m_stopped{false};
    HttpServer m_server;
    std::thread m_beats;
};

/// Sends requests one after the other, each on a new connection to the next router.
class Clients
{
public:
    Clients(Record &record, std::string network, int routers);

    /// Returns the share of the requests of that time that were served.
    double run(const std::string &phase, std::chrono::milliseconds length);

private:
    bool ask(const std::string &id, int router);

    Record &m_record;
    std::string m_network;
    int m_routers;
};

using Routers = std::list<Router>;

/// The place of the router with that number, from 0.
RouterPlace bookingPlace(int number, const std::string &network, const std::string &store);

bool areReady(const Routers &routers);

} // namespace review
