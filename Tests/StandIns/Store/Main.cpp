#include <LibNetwork/HttpServer.h>
#include <Tests/StandIns/Common/Process.h>
#include <Tests/StandIns/Store/Store.h>

namespace
{

using namespace Briarbend;

void run(int argc, const char **argv)
{
    // popt's copies last as long as the process.
    static const char *listen = "127.0.0.1:0";
    long long seed = 1;
    const poptOption options[]
        = {{"listen", 0, POPT_ARG_STRING, static_cast<void *>(&listen), 0, "IP number and port; port 0 takes a free one", "IP:PORT"},
           {"seed", 0, POPT_ARG_LONGLONG, &seed, 0, "seed of the lost answers", "N"},
           POPT_AUTOHELP POPT_TABLEEND};
    StandIns::parseCommandLine(argc, argv, options);
    boost::asio::io_context context(1);
    StandIns::Store store(static_cast<std::uint64_t>(seed));
    const Network::HttpServer server(context, StandIns::requireEndpoint(listen), [&store](Network::Request request) {
        return store.handle(std::move(request));
    });
    StandIns::announceAndRun(context, {{"listening", server.endpoint().text()}});
}

} // namespace

int main(int argc, const char **argv)
{
    try {
        run(argc, argv);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin_store: " << error.what() << '\n';
        return 1;
    }
}
