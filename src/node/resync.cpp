#include <algorithm>
#include <utility>

#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Traffic threads trust the snapshot for this long after the control thread last ran. Within the
// 3 s after which a suspended version or a leaving instance must get no more calls; longer than any
// step of the control thread (parsing a text of 1 MB takes up to 140 ms).
constexpr milliseconds snapshot_trust{2'000};
// A resumed node that no member answers, as in a partition, goes on with the view it has.
constexpr milliseconds resync_timeout{1'000};
// Members asked. More than one, since some may have failed during the pause.
constexpr std::size_t resync_members = 3;

// Asks members for their facts and for a newer text. Each answer is complete by itself.
void ask_members(control& state) {
    std::vector<const member*> live = live_members(state.m_members);
    std::shuffle(live.begin(), live.end(), state.m_random);
    live.resize(std::min(live.size(), resync_members));
    for (const member* each : live) {
        const std::string instance = each->m_instance;
        const ip_endpoint address = each->m_bulk;
        exchange_facts(state, instance, [&state, instance, address] {
            const std::uint64_t have = state.m_distribution.m_applied;
            const fetch_config_request request{state.m_settings.m_instance, have, have + 1};
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
    const duration gap = now - std::exchange(resync.m_last_tick, now);
    if (gap > snapshot_trust && !resync.m_refuse_until) {
        log_event(log_level::warning, "resumed_after_pause",
                  {{"ms", std::chrono::duration_cast<milliseconds>(gap).count()}});
        resync.m_refuse_until = now + resync_timeout;
        resync.m_peer_synced = false;
        ask_members(state);
    }
    const bool current = state.m_distribution.m_applied >= state.m_distribution.m_highest;
    const bool done = !resync.m_refuse_until || (resync.m_peer_synced && current) ||
                      now >= *resync.m_refuse_until;
    if (!done) {
        return;
    }
    resync.m_refuse_until.reset();
    refresh_snapshot(state);
    state.m_traffic->trust_snapshot_until(now + snapshot_trust);
}

} // namespace caraway
