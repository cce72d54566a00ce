import type { EntrySettings } from "./entry_settings.js";

/** How a setting is given and what it means. */
interface SettingSpec {
  readonly key: keyof EntrySettings;
  readonly flag: string;
  readonly help: string;
  readonly fallback?: string;
}

/** Every setting of `jujubeladder entry`. */
export const SETTING_SPECS: readonly SettingSpec[] = [
  { key: "instanceId", flag: "instance-id", help: "Name of this instance" },
  {
    key: "host",
    flag: "host",
    help: "IP address that this instance listens on",
    fallback: "127.0.0.1",
  },
  {
    key: "callerPort",
    flag: "caller-port",
    help: "Port for callers",
    fallback: "8080",
  },
  {
    key: "peerPort",
    flag: "peer-port",
    help: "Port for other instances",
    fallback: "8081",
  },
  {
    key: "adminPort",
    flag: "admin-port",
    help: "Port for liveness, readiness, metrics and status",
    fallback: "8082",
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
    help: "How long a watch at the platform waits, in milliseconds",
    fallback: "1000",
  },
  {
    key: "sealKeys",
    flag: "seal-keys",
    help: "Secrets that seal tickets and handles, by commas; the first seals",
  },
  {
    key: "loadIntervalMs",
    flag: "load-interval-ms",
    help: "Time between load reports of a runner, in milliseconds",
    fallback: "250",
  },
  {
    key: "maxListAgeMs",
    flag: "max-list-age-ms",
    help: "Age of the instance list above which a runner is asked first",
    fallback: "3000",
  },
  {
    key: "acceptWhileLeavingMs",
    flag: "accept-while-leaving-ms",
    help: "How long a stopping instance goes on accepting, in milliseconds",
    fallback: "3000",
  },
  {
    key: "ticketTtlMs",
    flag: "ticket-ttl-ms",
    help: "How long a ticket may be used, in milliseconds",
    fallback: "600000",
  },
  {
    key: "ticketRetentionMs",
    flag: "ticket-retention-ms",
    help: "How long an expired ticket is remembered, in milliseconds",
    fallback: "600000",
  },
];
