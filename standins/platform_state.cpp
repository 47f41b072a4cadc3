#include "platform_state.h"

namespace fulmar::standin {

Result<void> PlatformState::reboot(TimePoint now, const VmId& vm, const OperationId& operation)
{
    const auto reboots = vms.reboots();
    auto result = vms.reboot(now, vm, operation);
    if (result && vms.reboots() > reboots)
        workers.takeDown(now, vm, now + m_options.rebootTime);
    return result;
}

bool PlatformState::takeLostReply()
{
    const bool listed = switches.loseNextReplies > 0;
    if (listed)
        --switches.loseNextReplies;
    const bool lost = listed || std::bernoulli_distribution(switches.loseReplyShare)(m_random);
    counters.lostReplies += lost ? 1 : 0;
    return lost;
}

} // namespace fulmar::standin
