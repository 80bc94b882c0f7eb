#include <algorithm>
#include <utility>

#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Traffic threads use the snapshot for this long after the control thread last ran. The time is
// less than the 3 s after which a suspended version or a leaving instance must receive no more
// calls, and longer than any step of the control thread (parsing a text of 1 MB takes up to 140
// ms).
constexpr milliseconds snapshot_valid_time{2'000};
// After this time, a resumed node that no member answers, as in a partition, continues with its
// current view.
constexpr milliseconds resync_timeout{1'000};
// Number of members asked for updates. More than one, since some may have failed during the pause.
constexpr std::size_t resync_members = 3;

// Requests facts and a newer configuration text from a few random members. Each answer is complete,
// so the first one is enough.
void request_updates(control& state) {
    std::vector<const member*> targets = live_members(state.m_members);
    std::shuffle(targets.begin(), targets.end(), state.m_random);
    targets.resize(std::min(targets.size(), resync_members));
    for (const member* target : targets) {
        const std::string instance = target->m_instance;
        const ip_endpoint address = target->m_bulk;
        exchange_facts(state, instance, [&state, instance, address] {
            const std::uint64_t applied = state.m_distribution.m_applied;
            const fetch_config_request request{state.m_settings.m_instance, applied, applied + 1};
            send_bulk(state, address, request,
                      [&state, instance](const std::optional<bulk_reply>& reply) {
                          const auto* fetched =
                              reply ? std::get_if<fetch_config_reply>(&*reply) : nullptr;
                          if (fetched == nullptr) {
                              return;
                          }
                          if (fetched->m_config) {
                              receive_text(state, instance, *fetched->m_config);
                          }
                          state.m_resync.m_peer_synced = true;
                      });
        });
    }
}

} // namespace

void tick_resync(control& state, time_point now) {
    resync_state& resync = state.m_resync;
    const duration pause = now - std::exchange(resync.m_last_tick, now);
    if (pause > snapshot_valid_time && !resync.m_refuse_until) {
        log_event(log_level::warning, "resumed_after_pause",
                  {{"ms", std::chrono::duration_cast<milliseconds>(pause).count()}});
        resync.m_refuse_until = now + resync_timeout;
        resync.m_peer_synced = false;
        request_updates(state);
    }
    const bool up_to_date = state.m_distribution.m_applied >= state.m_distribution.m_highest_known;
    const bool finished = !resync.m_refuse_until || (resync.m_peer_synced && up_to_date) ||
                          now >= *resync.m_refuse_until;
    if (!finished) {
        return;
    }
    resync.m_refuse_until.reset();
    refresh_snapshot(state);
    state.m_traffic->trust_snapshot_until(now + snapshot_valid_time);
}

} // namespace caraway
