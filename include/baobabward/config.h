/*
 * Configuration: an immutable, validated snapshot of what the operators
 * published.
 *
 * bb_config_parse() makes a snapshot from a JSON document. It checks every rule
 * and rejects the whole document if one is broken. Rows refer to each other by
 * handle, which is an index into a table of the same snapshot. Any thread may
 * read a snapshot until bb_config_delete().
 */
#ifndef BAOBABWARD_CONFIG_H
#define BAOBABWARD_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Handle that refers to no row. */
#define BB_NO_ROW UINT32_MAX
/* Size of the BLAKE2b hash of a key, in bytes. */
#define BB_KEY_HASH_SIZE 32
/* Size of a CURVE key in Z85 text, in bytes, without the NUL. */
#define BB_CURVE_KEY_SIZE 40

/**
 * struct bb_host - a host, on which one node runs.
 * @name: unique name
 * @region: region name
 * @zone: availability zone name
 * @address: IP address
 * @data_port: TCP port for requests of other nodes
 * @control_port: TCP port for control messages of other nodes
 * @curve_key: public CURVE key in Z85, empty when links are not encrypted
 * @evacuated: its availability zone is evacuated: its backend servers get no
 *             requests, while its node goes on serving callers
 * @zone_id: number of the availability zone, counted from 0 within the
 *           snapshot; equal for equal @zone
 */
struct bb_host {
	char *name;
	char *region;
	char *zone;
	char *address;
	uint16_t data_port;
	uint16_t control_port;
	char curve_key[BB_CURVE_KEY_SIZE + 1];
	bool evacuated;
	uint32_t zone_id;
};

/**
 * struct bb_service - a pool of backend servers.
 * @name: unique name
 * @floor_percent: percentage of the backend servers that ejections must leave
 *                 in use, 0 to 100
 * @health_path: path of the health endpoint of its backend servers
 * @warmup_ms: time for which a backend server is cold after it started, 0 if
 *             unknown
 * @warmup_per_s: requests per second that a cold backend server takes, 0 for no
 *                limit
 * @warmup_max: most requests that may reach a cold backend server in any second,
 *              0 if no such bound is set
 * @backends: handles of its backend servers
 * @backends_nr: number of @backends
 */
struct bb_service {
	char *name;
	uint32_t floor_percent;
	char *health_path;
	uint32_t warmup_ms;
	double warmup_per_s;
	double warmup_max;
	uint32_t *backends;
	size_t backends_nr;
};

/**
 * enum bb_backend_state - state of a backend server as set by the operators.
 * @BB_BACKEND_IN: gets requests
 * @BB_BACKEND_LEAVING: finishes the requests that it has, gets no new ones
 * @BB_BACKEND_OUT: gets no requests
 */
enum bb_backend_state {
	BB_BACKEND_IN,
	BB_BACKEND_LEAVING,
	BB_BACKEND_OUT,
	BB_BACKEND_STATE_COUNT
};

extern const char *const bb_backend_state_string[];

/**
 * struct bb_backend - a backend server.
 * @name: unique name
 * @host: handle of the host whose node (the adjacent node) sends its requests
 * @service: handle of its service
 * @url: http://IP:port without a path
 * @weight: relative share of the service's requests, greater than 0
 * @slots: limit of concurrent requests, at least 1
 * @max_connections: limit of open connections, at least @slots
 * @state: state set by the operators
 * @started_ms: wall time in milliseconds at which it started, as a registry
 *              tells it; tells its starts under one name apart; 0 if unknown
 * @cold_until_us: time of the monotonic clock of this process until which a
 *                 registry tells that it is cold, 0 if it tells none; set by a
 *                 feed, not part of the document
 */
struct bb_backend {
	char *name;
	uint32_t host;
	uint32_t service;
	char *url;
	double weight;
	uint32_t slots;
	uint32_t max_connections;
	enum bb_backend_state state;
	double started_ms;
	int64_t cold_until_us;
};

/*
 * Limit of rates in requests per second and of bursts in requests, above the
 * needs of any single client account.
 */
#define BB_RATE_MAX 1000000000.0
/* Number of the lowest priority. */
#define BB_PRIORITY_MAX 255
/* Limit of max_attempts, more backend servers than any retry would try. */
#define BB_ROUTE_ATTEMPTS_MAX 64
/* Longest timeout: one day. */
#define BB_TIMEOUT_MAX_MS 86400000
/* Longest host name of a route, in bytes (RFC 1035, 2.3.4). */
#define BB_HOST_NAME_MAX 255
/* Largest @slots and @max_connections of struct bb_backend. */
#define BB_BACKEND_SLOTS_MAX 65535
#define BB_BACKEND_CONNECTIONS_MAX 1000000
/* Largest @started_ms of struct bb_backend: whole numbers are exact up to it. */
#define BB_BACKEND_STARTED_MS_MAX 9007199254740992.0
/* Largest @warmup_ms of struct bb_service: ten minutes. */
#define BB_WARMUP_MAX_MS 600000

/**
 * bb_config_is_label() - whether the document takes a string as the name of a
 * service, a route or a client account: 1 to BB_NAME_MAX bytes of UTF-8 without
 * control characters, and without a space at either end, so that it is the value
 * of a header.
 * @s: string, may be NULL
 */
bool bb_config_is_label(const char *s);

/**
 * bb_config_is_name() - whether the document takes a string as a name: 1 to
 * BB_NAME_MAX bytes of printable ASCII without spaces.
 * @s: string, may be NULL
 */
bool bb_config_is_name(const char *s);

/* HTTP methods, as bits of @methods of struct bb_route. */
enum bb_method {
	BB_METHOD_GET = 1 << 0,
	BB_METHOD_HEAD = 1 << 1,
	BB_METHOD_POST = 1 << 2,
	BB_METHOD_PUT = 1 << 3,
	BB_METHOD_PATCH = 1 << 4,
	BB_METHOD_DELETE = 1 << 5,
};

/**
 * bb_method_parse() - look up the bit of a method.
 * @name: method name in capitals
 *
 * Return: the bit, 0 if the method is not supported.
 */
unsigned int bb_method_parse(const char *name);

/**
 * enum bb_access - how the client account of a request is identified.
 * @BB_ACCESS_INTERNAL: by the key, or by a header
 * @BB_ACCESS_OPEN: by the key only; the route is open to all
 * @BB_ACCESS_PUBLIC: no key is needed, a request may have no client account
 */
enum bb_access {
	BB_ACCESS_INTERNAL,
	BB_ACCESS_OPEN,
	BB_ACCESS_PUBLIC,
	BB_ACCESS_COUNT
};

extern const char *const bb_access_string[];

/**
 * struct bb_weighted_service - a service with its share of a route's requests.
 * @service: handle of the service
 * @weight: relative share, greater than 0
 */
struct bb_weighted_service {
	uint32_t service;
	double weight;
};

/**
 * struct bb_route - maps paths to a service.
 * @name: unique name
 * @host_name: host name in the requests, NULL for any; a route with a host name
 *             has precedence over one without
 * @path_prefix: matches a path that equals it or continues after it with a '/';
 *               a prefix that ends in '/' matches only paths that begin with it
 * @methods: set of enum bb_method
 * @service: handle of the service
 * @split: several services that share the requests by weight; @service is the
 *         first of them
 * @split_nr: number of @split, 0 if all requests go to @service
 * @idempotent: requests may be sent again
 * @access: how the client account is identified
 * @max_body_bytes: size limit of the request body and of the response body
 * @timeout_ms: time limit of the whole request
 * @target_latency_ms: time within which a response is of full use, 0 if unknown
 * @priority: priority in queues, 0 is the highest
 * @max_attempts: limit of backend servers that one request may be sent to, 0 if
 *                the route sets no limit
 */
struct bb_route {
	char *name;
	char *host_name;
	char *path_prefix;
	unsigned int methods;
	uint32_t service;
	struct bb_weighted_service *split;
	size_t split_nr;
	bool idempotent;
	enum bb_access access;
	uint32_t max_body_bytes;
	uint32_t timeout_ms;
	uint32_t target_latency_ms;
	uint32_t priority;
	uint32_t max_attempts;
};

/**
 * struct bb_account - a client account.
 * @name: unique name
 * @rate_per_s: rate limit in requests per second, over all hosts together
 * @burst: burst size of the rate limit in requests, over all hosts together, at
 *         least 1
 * @weight: weight in fair queueing, greater than 0
 * @unlimited: @rate_per_s and @burst are not applied
 * @ranked: @priority overrides that of the route
 * @priority: priority in queues, 0 is the highest
 * @key_hashes: BLAKE2b-256 hashes of its keys
 * @key_hashes_nr: number of @key_hashes
 */
struct bb_account {
	char *name;
	double rate_per_s;
	double burst;
	double weight;
	bool unlimited;
	bool ranked;
	uint32_t priority;
	uint8_t (*key_hashes)[BB_KEY_HASH_SIZE];
	size_t key_hashes_nr;
};

/**
 * struct bb_policies - functions that a deployment asks for; 0 switches each off.
 * @report_bytes_per_s: bytes per second that a node may send to tell others of
 *                      the state of the backend servers beside it
 * @place_by_cost: 1 to place requests by their expected cost and bytes
 * @rank_order: 1 to order waiting requests by rank
 * @reuse_ms: a non-idempotent request may use a connection to a backend server
 *            that was last used at most so long ago
 */
struct bb_policies {
	uint32_t report_bytes_per_s;
	uint32_t place_by_cost;
	uint32_t rank_order;
	uint32_t reuse_ms;
};

/**
 * struct bb_config - a snapshot.
 * @version: version number, which increases with every publication
 * @revision: order of snapshots with the same version, which differ in the
 *            hosts and backend servers discovered so far; 0 for documents
 * @automation: automatic actions are allowed
 * @idempotency_window_ms: how long an idempotency key is remembered
 * @policies: functions that the deployment asks for
 * @seats_hash: hash of the host names in the order of the document
 * @hosts_version: all versions from this one up to @version list the same
 *                 hosts, as far as is known; 0 if nothing is known
 * @hosts_version_before: all versions from this one up to the one before
 *                        @hosts_version list the same hosts; 0 if that is not
 *                        known
 * @refusals: for each row that was left out because it is not valid, its
 *            location, the value and the rule
 * @refusals_nr: number of @refusals
 * @index: hash indexes for the lookup functions
 */
struct bb_config {
	uint64_t version;
	uint64_t revision;
	bool automation;
	uint32_t idempotency_window_ms;
	struct bb_policies policies;
	uint64_t seats_hash;
	uint64_t hosts_version;
	uint64_t hosts_version_before;
	struct bb_host *hosts;
	size_t hosts_nr;
	struct bb_service *services;
	size_t services_nr;
	struct bb_backend *backends;
	size_t backends_nr;
	struct bb_route *routes;
	size_t routes_nr;
	struct bb_account *accounts;
	size_t accounts_nr;
	char **refusals;
	size_t refusals_nr;
	struct bb_config_index *index;
};

/**
 * bb_config_parse() - parse and validate a document.
 * @json: the document, UTF-8 JSON
 * @size: number of bytes
 * @err: on failure names table, row, column, value and rule
 *
 * Depends on nothing but its input: the same bytes give the same result on
 * every node and in baobabctl.
 *
 * Return: snapshot owned by the caller, or NULL.
 */
struct bb_config *bb_config_parse(const char *json, size_t size,
				  struct bb_error *err);

/**
 * bb_config_parse_rows() - parse a document without the rows that are not valid.
 * @json: the document, UTF-8 JSON
 * @size: number of bytes
 * @err: as for bb_config_parse()
 *
 * For documents that cannot be sent back to their writer: one value that is not
 * valid must not keep the rest from taking effect, such as the withdrawal of a
 * key. A row of services, backends, routes or accounts that breaks a rule, or
 * refers to such a row, is left out and counted. Paths under the prefix of a
 * refused route do not fall to a shorter prefix, see bb_config_is_refused_path().
 * What is left out depends on the document alone, so that all nodes agree on it.
 *
 * Return: snapshot owned by the caller, or NULL if a rule of the document or of
 * a host is broken.
 */
struct bb_config *bb_config_parse_rows(const char *json, size_t size,
				       struct bb_error *err);

/**
 * bb_config_delete() - free a snapshot.
 * @c: snapshot, may be NULL
 */
void bb_config_delete(struct bb_config *c);

/**
 * bb_config_find_host() - look up a host by name.
 * @c: snapshot
 * @name: first byte of the name
 * @size: number of bytes of the name
 *
 * The lookups of the other tables below have the same arguments. Each takes
 * constant time.
 *
 * Return: handle, or BB_NO_ROW.
 */
uint32_t bb_config_find_host(const struct bb_config *c, const char *name,
			     size_t size);
uint32_t bb_config_find_service(const struct bb_config *c, const char *name,
				size_t size);
uint32_t bb_config_find_backend(const struct bb_config *c, const char *name,
				size_t size);
uint32_t bb_config_find_route(const struct bb_config *c, const char *name,
			      size_t size);
uint32_t bb_config_find_account(const struct bb_config *c, const char *name,
				size_t size);

/**
 * bb_config_find_key() - find the client account of a key.
 * @c: snapshot
 * @key: key as the caller sent it
 * @size: number of bytes of the key
 *
 * Hashes the key with BLAKE2b and compares the hash in constant time.
 *
 * Return: account handle, or BB_NO_ROW.
 */
uint32_t bb_config_find_key(const struct bb_config *c, const char *key,
			    size_t size);

/**
 * bb_config_match_route() - find the route of a request.
 * @c: snapshot
 * @host: host name in the request, without a port; NULL for none
 * @path: path without the query
 * @method: bit of the method
 * @path_matched: set to true when the path matches but the method does not
 *
 * The longest matching prefix wins. The time depends on the length of the path,
 * not on the number of routes.
 *
 * Return: route handle, or BB_NO_ROW.
 */
uint32_t bb_config_match_route(const struct bb_config *c, const char *host,
			       const char *path, unsigned int method,
			       bool *path_matched);

/**
 * bb_config_is_refused_path() - whether a path without a route is that of a
 * route that was refused.
 * @c: snapshot
 * @host: host name in the request, without a port; NULL for none
 * @path: path without the query, for which bb_config_match_route() found none
 */
bool bb_config_is_refused_path(const struct bb_config *c, const char *host,
			       const char *path);

/**
 * bb_config_to_json() - write a snapshot as a document.
 * @c: snapshot
 *
 * Return: JSON text that the caller frees with free(), or NULL; parsing it
 * gives an equal snapshot.
 */
char *bb_config_to_json(const struct bb_config *c);

/**
 * bb_config_check_successor() - check whether a snapshot may replace another.
 * @old: snapshot published last
 * @next: snapshot to publish after it
 * @err: filled in on failure
 *
 * Is called before publication, not by nodes, which may skip versions. The
 * version must increase. At most 10% of the hosts may change in one step (one
 * host always may), and each quorum of the old hosts must share a host with
 * each quorum of the new ones.
 *
 * Return: 0, or -1.
 */
int bb_config_check_successor(const struct bb_config *old,
			      const struct bb_config *next,
			      struct bb_error *err);

/**
 * bb_config_same_hosts() - compare the lists of hosts.
 * @a: snapshot
 * @b: snapshot
 *
 * Return: true if both list the same host names in any order. Addresses are not
 * compared, since a seat is identified by the host name only.
 */
bool bb_config_same_hosts(const struct bb_config *a, const struct bb_config *b);

/**
 * bb_config_set_hosts_versions() - derive hosts_version and
 * hosts_version_before of a document.
 * @old: publication that @next replaces, NULL if there is none
 * @next: snapshot to publish, of a greater version
 * @err: filled in on failure
 *
 * Overwrites the values that @next already has, after a check. Fails if they
 * show that @next was made from a copy older than the last change of the hosts,
 * or that @old is not the publication that @next replaces.
 *
 * Return: 0, or -1.
 */
int bb_config_set_hosts_versions(const struct bb_config *old,
				 struct bb_config *next, struct bb_error *err);

#ifdef __cplusplus
}
#endif
#endif
