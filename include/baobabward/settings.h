/*
 * Settings of the daemon. A flag has precedence over an environment variable,
 * and a variable over the default.
 *
 * Each setting has a flag --some-name and a variable BAOBABWARD_SOME_NAME. All
 * values are checked in one pass, and the error lists every bad one.
 */
#ifndef BAOBABWARD_SETTINGS_H
#define BAOBABWARD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum bb_setting_origin - source of the value of a setting.
 */
enum bb_setting_origin {
	BB_SETTING_DEFAULT,
	BB_SETTING_ENVIRONMENT,
	BB_SETTING_FLAG,
	BB_SETTING_ORIGIN_COUNT
};

extern const char *const bb_setting_origin_string[];

/**
 * struct bb_settings - settings whose values have passed all checks.
 * @host: name of this host in the configuration
 * @listen: IP address for callers
 * @port: TCP port for callers; a port in the listen flag overrides --port
 * @admin_listen: IP address of the operator listener
 * @admin_port: TCP port of the operator listener; a port in the admin-listen
 *              flag overrides --admin-port
 * @ready_path: path of the readiness check on the operator listener
 * @local_service: service whose backend server is beside this node, or NULL
 * @serve_stale: serve open routes also when the configuration is not known to
 *               be current
 * @retry_percent: retries allowed, as a percentage of first attempts
 * @retry_slack: retries beyond that share which the whole fleet may accumulate,
 *               0 to bound each node alone
 * @retry_window_ms: time over which @retry_slack is granted anew, 0 for only once
 * @attempt_percent: percentage of the remaining time that an attempt of an
 *                   idempotent request may use while another may follow
 * @breaker: redirect requests at once from backend servers that fail
 * @ejections: eject backend servers
 * @probes: probe backend servers that have few requests
 * @subset: smallest number of backend servers of a service that the node uses, 0
 *          for all
 * @slot_searches: number of backend servers that a request asks for a free slot
 *                 before it waits for one
 * @local_percent: load of backend servers, in percent, up to which those of the
 *                 node's own availability zone are preferred; with 0, those of
 *                 other zones only get a penalty
 * @report_stale_ms: age at which a load report has half its weight
 * @path_check_ms: time without a message from a host after which the path to it
 *                 is checked before a request is sent there, 0 for never
 * @path_floor: avoid no more silent paths than the floor of a service allows
 * @reserve: spend a part of a client account's rate while the holder of its
 *           group cannot be reached
 * @draw_wait_ms: maximum wait of a request for a token of the rate limit
 * @booking_wait_ms: maximum wait of a non-idempotent request in a queue
 * @registry_apply_ms: time within which a change of the registry of backend
 *                     servers must be known
 * @registry_hosts_per_reader: hosts for each node that reads the registry, 0
 *                             to let every node read
 * @config_file: path of a configuration document, or NULL
 * @config_url: base URL of the configuration service, or NULL
 * @config_public_key: operators' Ed25519 public key in hexadecimal, required
 *                     with @config_url
 * @host_list_ms: mean time between reads of the platform's list of hosts from
 *                @config_url, 0 for never
 * @curve_secret: CURVE secret key in Z85, or NULL for unencrypted links
 * @bind_address: IP address for other nodes, NULL for the configured one
 * @front_threads: number of threads for callers' connections
 * @connection_limit: maximum number of connections of callers
 * @body_memory_mb: limit on the memory of bodies of requests and responses in
 *                  MiB, 0 for bb_body_default_limit()
 * @body_stall_ms: time without progress after which a body gives way to others
 * @idle_timeout_s: idle or stalled connections are closed after this time
 * @grace_ms: maximum duration of a graceful shutdown
 * @lease_term_ms: term of leases; must be equal on all nodes
 * @freshness_ms: bound on the age of liveness evidence; must be equal on all
 *                nodes
 * @trace_url: OTLP/HTTP endpoint, or NULL for no traces
 * @trace_ratio: share of requests without a traceparent to trace, 0 to 1
 * @log_level: "error", "warning", "info" or "debug"
 */
struct bb_settings {
	char *host;
	char *listen;
	uint32_t port;
	char *admin_listen;
	uint32_t admin_port;
	char *ready_path;
	char *local_service;
	uint32_t serve_stale;
	uint32_t retry_percent;
	uint32_t retry_slack;
	uint32_t retry_window_ms;
	uint32_t attempt_percent;
	uint32_t breaker;
	uint32_t ejections;
	uint32_t probes;
	uint32_t subset;
	uint32_t slot_searches;
	uint32_t local_percent;
	uint32_t report_stale_ms;
	uint32_t path_check_ms;
	uint32_t path_floor;
	uint32_t reserve;
	uint32_t draw_wait_ms;
	uint32_t booking_wait_ms;
	uint32_t registry_apply_ms;
	uint32_t registry_hosts_per_reader;
	char *config_file;
	char *config_url;
	char *config_public_key;
	uint32_t host_list_ms;
	char *curve_secret;
	char *bind_address;
	uint32_t front_threads;
	uint32_t connection_limit;
	uint32_t body_memory_mb;
	uint32_t body_stall_ms;
	uint32_t idle_timeout_s;
	uint32_t grace_ms;
	uint32_t lease_term_ms;
	uint32_t freshness_ms;
	char *trace_url;
	double trace_ratio;
	char *log_level;
};

/**
 * bb_settings_parse() - read and check flags and environment variables.
 * @argc: number of arguments; parsed options are removed
 * @argv: arguments
 * @help: set to the help text when --help was given, free with g_free()
 * @err: lists all bad values, separated by "; "
 *
 * Return: settings, or NULL on error or when @help is set.
 */
struct bb_settings *bb_settings_parse(int *argc, char ***argv, char **help,
				      struct bb_error *err);

/**
 * bb_settings_parse_for_feed() - like bb_settings_parse(), for a node whose
 * configuration comes from a feed; refuses config_file and config_url.
 */
struct bb_settings *bb_settings_parse_for_feed(int *argc, char ***argv,
					       char **help,
					       struct bb_error *err);

/**
 * bb_settings_json() - list the effective settings and the origin of each.
 * @s: settings
 *
 * The CURVE secret key is shown as "set" only.
 *
 * Return: JSON text that the caller frees with free().
 */
char *bb_settings_json(const struct bb_settings *s);

/**
 * bb_settings_delete() - free settings.
 * @s: settings, may be NULL
 */
void bb_settings_delete(struct bb_settings *s);

#ifdef __cplusplus
}
#endif
#endif
