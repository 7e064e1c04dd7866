#ifndef COMPONENTS_HTTP_RESPONDER_HPP
#define COMPONENTS_HTTP_RESPONDER_HPP

#include <functional>
#include <memory>

namespace http
{

struct Response;

/// Answers one request, from any thread. Copies share the answer: the first call counts and later ones do nothing.
/// Where every copy is destroyed without a call, the caller is sent status 500.
class Responder
{
public:
    using Send = std::function<void(Response)>;

    explicit Responder(Send send);

    void operator()(Response response) const;

private:
    class Once;
    std::shared_ptr<Once> m_once;
};

}

#endif
