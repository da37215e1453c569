#include "admintask.h"

#include "adminserver.h"

namespace crocusreach {

AdminTask::AdminTask(AdminSettings settings, AdminPorts ports)
    : thread("admin")
{
    this->thread.run([&] {
        this->server = std::make_unique<AdminServer>(this->thread.context(), std::move(settings),
                                                     std::move(ports));
    });
    this->postView = [inbox = this->server->inbox()](ViewChanged &&message) {
        inbox->post(std::move(message));
    };
}

AdminTask::~AdminTask()
{
    this->stop();
}

auto AdminTask::listen(std::string_view address) -> Result<std::string>
{
    auto result = Result<std::string>();
    this->thread.run([&] { result = this->server->listen(address); });
    return result;
}

auto AdminTask::post(ViewChanged message) -> void
{
    this->postView(std::move(message));
}

auto AdminTask::stop() -> void
{
    if (this->server == nullptr)
        return;
    this->thread.run([this] { this->server.reset(); });
    this->thread.stop();
}

} // namespace crocusreach
