import type { EntrySettings } from "./entry_settings.js";

/** Flag, help text and default of a setting. */
interface SettingSpec {
  readonly key: keyof EntrySettings;
  readonly flag: string;
  readonly help: string;
  readonly defaultValue?: string;
}

/** Every setting of `jujubeladder entry`. */
export const SETTING_SPECS: readonly SettingSpec[] = [
  { key: "instanceId", flag: "instance-id", help: "Name of this instance" },
  {
    key: "host",
    flag: "host",
    help: "IP address that this instance listens on",
    defaultValue: "127.0.0.1",
  },
  {
    key: "callerPort",
    flag: "caller-port",
    help: "Port for callers",
    defaultValue: "8080",
  },
  {
    key: "peerPort",
    flag: "peer-port",
    help: "Port for other instances",
    defaultValue: "8081",
  },
  {
    key: "adminPort",
    flag: "admin-port",
    help: "Port for liveness, readiness, metrics and status",
    defaultValue: "8082",
  },
  { key: "region", flag: "region", help: "Region of this instance" },
  {
    key: "availabilityZone",
    flag: "availability-zone",
    help: "Availability zone of this instance",
  },
  {
    key: "platformUrl",
    flag: "platform-url",
    help: "Base URL of the platform's configuration and instance list",
  },
  {
    key: "platformWaitMs",
    flag: "platform-wait-ms",
    help: "Long-poll timeout of a watch at the platform, in milliseconds",
    defaultValue: "1000",
  },
  {
    key: "sealKeys",
    flag: "seal-keys",
    help: "Secrets to seal tickets and handles, comma-separated; first seals",
  },
  {
    key: "loadIntervalMs",
    flag: "load-interval-ms",
    help: "Interval between load polls of a runner, in milliseconds",
    defaultValue: "250",
  },
  {
    key: "maxListAgeMs",
    flag: "max-list-age-ms",
    help: "Age of the instance list above which a runner is queried first",
    defaultValue: "3000",
  },
  {
    key: "acceptWhileLeavingMs",
    flag: "accept-while-leaving-ms",
    help: "How long a stopping instance keeps accepting, in milliseconds",
    defaultValue: "3000",
  },
  {
    key: "ticketTtlMs",
    flag: "ticket-ttl-ms",
    help: "Time to live of a ticket, in milliseconds",
    defaultValue: "600000",
  },
  {
    key: "ticketRetentionMs",
    flag: "ticket-retention-ms",
    help: "How long an expired ticket is retained, in milliseconds",
    defaultValue: "600000",
  },
];
