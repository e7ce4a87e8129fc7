#include "rpc/rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

namespace zinniabarrow {

namespace {

class transport_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(const rpc_transport &transport)
        : m_transport(transport)
    { }

    void SendRPCMessage(const std::string &message, // NOLINT(readability-identifier-naming)
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        try {
            result = m_transport(message);
        } catch (const std::runtime_error &problem) {
            throw jsonrpc::JsonRpcException(RpcNoAnswer, problem.what());
        }
    }

private:
    const rpc_transport &m_transport;
};

} // namespace

struct rpc_server::impl : public jsonrpc::IProcedureInvokationHandler
{
    impl()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this))
    { }

    void HandleMethodCall(jsonrpc::Procedure &procedure, // NOLINT(readability-identifier-naming)
                          const Json::Value &input, Json::Value &output) override
    {
        const auto found = methods.find(procedure.GetProcedureName());
        try {
            output = found->second(input);
        } catch (const rpc_refusal &refusal) {
            Json::Value data(Json::objectValue);
            data["kind"] = refusal.kind();
            throw jsonrpc::JsonRpcException(RpcRefused, refusal.what(), data);
        } catch (const std::exception &problem) {
            Json::Value data(Json::objectValue);
            data["kind"] = "internal";
            throw jsonrpc::JsonRpcException(RpcRefused, problem.what(), data);
        }
    }

    void HandleNotificationCall(
            jsonrpc::Procedure & /*procedure*/, // NOLINT(readability-identifier-naming)
            const Json::Value & /*input*/) override
    {
        // Not used: every message between the processes is a call that is answered.
    }

    std::map<std::string, method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

rpc_server::rpc_server()
    : m_impl(new impl)
{ }

rpc_server::~rpc_server() = default;

void rpc_server::bind(const std::string &name, method body)
{
    m_impl->methods[name] = std::move(body);
    const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL);
    m_impl->protocol->AddProcedure(procedure);
}

std::string rpc_server::handle(const std::string &request) const
{
    std::string answer;
    m_impl->protocol->HandleRequest(request, answer);
    return answer;
}

Json::Value rpcCall(const rpc_transport &transport, const std::string &name,
                    const Json::Value &parameters)
{
    transport_connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return client.CallMethod(name, parameters);
    } catch (const jsonrpc::JsonRpcException &exception) {
        const Json::Value &data = exception.GetData();
        const std::string kind = data.isObject() ? data["kind"].asString() : std::string();
        throw rpc_failure(exception.GetCode(), kind, exception.GetMessage());
    }
}

} // namespace zinniabarrow
