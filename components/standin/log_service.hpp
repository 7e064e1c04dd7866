#ifndef COMPONENTS_STANDIN_LOG_SERVICE_HPP
#define COMPONENTS_STANDIN_LOG_SERVICE_HPP

#include "components/standin/log_streams.hpp"
#include "components/standin/service.hpp"

namespace standin
{

/// Serves the platform's log over HTTP.
class LogService : public Service
{
public:
    LogService(EventLoop &loop, fleet::Duration retention);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) override;

private:
    http::Response readPage(const http::Request &request, const std::string &stream, fleet::TimePoint now);

    LogStreams m_streams;
};

}

#endif
