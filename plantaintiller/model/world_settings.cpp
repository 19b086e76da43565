#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::model {

world_settings SwanlodgeSettings() {
  world_settings settings;
  settings.zones = {{"perth-north", "perth", 3},
                    {"perth-south", "perth", 3},
                    {"bunbury-a", "bunbury", 2}};
  settings.databases = 9;
  settings.slots = 2;
  settings.connections = 16;
  settings.connect_time = std::chrono::milliseconds(12);
  settings.latencies.between_zones = std::chrono::microseconds(1000);
  return settings;
}

world_settings AgencySettings() {
  world_settings settings;
  settings.zones = {
      {"ba-1", "sk-west", 3}, {"ba-2", "sk-west", 3}, {"ke-1", "sk-east", 2}};
  settings.databases = 9;
  settings.slots = 3;
  settings.connections = 40;
  settings.connect_time = std::chrono::milliseconds(30);
  settings.latencies.between_zones = std::chrono::microseconds(500);
  return settings;
}

world_settings SmallSettings() {
  world_settings settings;
  settings.zones = {
      {"zone-a", "west", 2}, {"zone-b", "west", 2}, {"zone-c", "east", 1}};
  settings.databases = 2;
  settings.slots = 3;
  settings.connections = 8;
  settings.delay_probability = 0.002;
  settings.decider.executor.capacity = 256;
  settings.decider.executor.queue_capacity = 64;
  settings.decider.executor.max_transactions = 16;
  settings.decider.router.capacity = 256;
  return settings;
}

}  // namespace plantaintiller::model
