#include "fixture.h"

#include <algorithm>
#include <utility>

namespace crocusreach::bench {

namespace {

constexpr std::uint32_t domainCount = 5;

auto domainName(std::uint32_t domain) -> std::string
{
    return "domain-" + std::to_string(domain);
}

auto makeService(const FixtureSize &size, std::uint32_t number) -> Service
{
    const auto name = serviceName(number);
    auto service = Service{serviceId(name), name, "cell", LayoutVersion{1}, 0, {}, {}};
    service.shardCount = size.leafsPerService / size.replicas;
    for (std::uint32_t index = 0; index < size.leafsPerService; ++index) {
        const auto leafName = "leaf-" + std::to_string(index);
        const auto domain = domainId(domainName(index % domainCount));
        service.leafs.push_back({leafId(name, leafName),
                                 leafName,
                                 "127.0.0.1:9",
                                 domain,
                                 6,
                                 2,
                                 50,
                                 {ShardNumber{index % service.shardCount}}});
    }
    return service;
}

} // namespace

auto serviceName(std::uint32_t service) -> std::string
{
    return "service-" + std::to_string(service);
}

auto makeView(const FixtureSize &size) -> ClusterViewPtr
{
    auto configuration = std::make_shared<Configuration>();
    for (std::uint32_t domain = 0; domain < domainCount; ++domain)
        configuration->domains.push_back(
                {domainId(domainName(domain)), domainName(domain), "region", {}});
    for (std::uint32_t service = 0; service < size.services; ++service)
        configuration->services.push_back(makeService(size, service));
    auto assignment = std::make_shared<Assignment>();
    auto view = std::make_shared<ClusterView>();
    for (std::uint32_t holder = 0; holder < size.holders; ++holder)
        view->peers.push_back({InstanceId{holder},
                               {},
                               "holder",
                               "127.0.0.1:1",
                               {},
                               true,
                               false,
                               {},
                               {},
                               std::chrono::milliseconds(1)});
    auto next = std::uint64_t{0};
    for (const auto &service : configuration->services) {
        for (const auto &leaf : service.leafs) {
            for (std::uint8_t ordinal = 0; ordinal < 2; ++ordinal)
                assignment->shares.push_back({leaf.id,
                                              ordinal,
                                              {3, 1, 25},
                                              InstanceId{next++ % size.holders},
                                              {},
                                              {},
                                              {},
                                              {}});
        }
    }
    std::ranges::sort(assignment->shares, {},
                      [](const Share &share) { return std::pair(share.leaf, share.ordinal); });
    view->self = InstanceId{1000};
    view->configuration = configuration;
    view->leafIndex = std::make_shared<const LeafIndex>(buildLeafIndex(*configuration));
    view->assignment = assignment;
    return view;
}

} // namespace crocusreach::bench
