/*
 * One table describes all settings: it drives parsing, checks, the help text
 * and the JSON list. All problems are collected before an error is returned.
 */
#include "baobabward/settings.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/config.h"

const char *const bb_setting_origin_string[] = { "default", "environment",
						 "flag" };

static_assert(sizeof(bb_setting_origin_string) /
			      sizeof(*bb_setting_origin_string) ==
		      BB_SETTING_ORIGIN_COUNT,
	      "bb_setting_origin_string must have one string for each origin");

/**
 * enum setting_kind - type of a setting; selects the check of its value.
 */
enum setting_kind {
	SETTING_TEXT,
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_ENDPOINT,
	SETTING_NUMBER,
	SETTING_URL,
	SETTING_HEX_KEY,
	SETTING_CURVE_KEY,
	SETTING_LOG_LEVEL,
	SETTING_RATIO,
};

/**
 * struct setting - a row of the table.
 * @flag: name of the flag without the leading dashes
 * @kind: type of the value
 * @offset: offset of the field in struct bb_settings
 * @default_value: text of the default, NULL for none
 * @min: lowest allowed number
 * @max: highest allowed number
 * @argument: placeholder for the value in the help text
 * @help: description in the help text
 */
struct setting {
	const char *flag;
	enum setting_kind kind;
	size_t offset;
	const char *default_value;
	uint64_t min;
	uint64_t max;
	const char *argument;
	const char *help;
};

#define OFFSET(member) offsetof(struct bb_settings, member)

static const struct setting setting_table[] = {
	{ "host", SETTING_NAME, OFFSET(host), NULL, 0, 0, "NAME",
	  "name of this host in the configuration (required)" },
	{ "listen", SETTING_ENDPOINT, OFFSET(listen), "127.0.0.1", 0, 0,
	  "IP[:PORT]", "address for callers; its port goes before --port" },
	{ "port", SETTING_NUMBER, OFFSET(port), "8080", 0, 65535, "PORT",
	  "port for callers, 0 lets the system choose" },
	{ "admin-listen", SETTING_ENDPOINT, OFFSET(admin_listen), "127.0.0.1",
	  0, 0, "IP[:PORT]",
	  "address of the operator listener; its port goes before "
	  "--admin-port" },
	{ "admin-port", SETTING_NUMBER, OFFSET(admin_port), "8081", 0, 65535,
	  "PORT", "port of the operator listener" },
	{ "ready-path", SETTING_TEXT, OFFSET(ready_path), "/readyz", 0, 0,
	  "PATH", "path of the readiness check on the operator listener" },
	{ "local-service", SETTING_NAME, OFFSET(local_service), NULL, 0, 0,
	  "NAME", "service whose backend server is beside this node" },
	{ "serve-stale", SETTING_NUMBER, OFFSET(serve_stale), "0", 0, 1, "0|1",
	  "serve open routes also when the configuration is not known to be "
	  "current" },
	{ "retry-percent", SETTING_NUMBER, OFFSET(retry_percent), "10", 0, 100,
	  "PERCENT", "share of first attempts that may be retried" },
	{ "retry-slack", SETTING_NUMBER, OFFSET(retry_slack), "0", 0, 1000000,
	  "N",
	  "retries beyond that share which the whole fleet may save up, 0 "
	  "to bound each node alone" },
	{ "retry-window-ms", SETTING_NUMBER, OFFSET(retry_window_ms), "0", 0,
	  600000, "MS",
	  "time over which the slack is granted anew, 0 for only once" },
	{ "attempt-percent", SETTING_NUMBER, OFFSET(attempt_percent), "50", 1,
	  100, "PERCENT",
	  "share of the time left that an attempt of an idempotent request "
	  "may use while another may follow" },
	{ "breaker", SETTING_NUMBER, OFFSET(breaker), "0", 0, 1, "0|1",
	  "redirect requests at once from backend servers that fail" },
	{ "ejections", SETTING_NUMBER, OFFSET(ejections), "1", 0, 1, "0|1",
	  "eject backend servers; 0 leaves failing ones to the breaker" },
	{ "probes", SETTING_NUMBER, OFFSET(probes), "1", 0, 1, "0|1",
	  "probe backend servers that have few requests" },
	{ "subset", SETTING_NUMBER, OFFSET(subset), "0", 0, 4096, "N",
	  "backend servers of a service that the node uses: an eighth, and at "
	  "least so many; 0 for all" },
	{ "slot-searches", SETTING_NUMBER, OFFSET(slot_searches), "0", 0, 8,
	  "N",
	  "backend servers that a request asks for a free slot before it waits "
	  "for one" },
	{ "local-percent", SETTING_NUMBER, OFFSET(local_percent), "0", 0, 1000,
	  "PERCENT",
	  "load of backend servers up to which the own availability zone goes "
	  "first, 0 for no preference but a penalty" },
	{ "report-stale-ms", SETTING_NUMBER, OFFSET(report_stale_ms), "20", 1,
	  60000, "MS", "age at which a report of load counts half" },
	{ "path-check-ms", SETTING_NUMBER, OFFSET(path_check_ms), "0", 0, 60000,
	  "MS",
	  "time without a sign of life after which a host is asked before a "
	  "request is sent to it, 0 for never" },
	{ "path-floor", SETTING_NUMBER, OFFSET(path_floor), "1", 0, 1, "0|1",
	  "avoid no more silent paths than the floor of a service allows" },
	{ "reserve", SETTING_NUMBER, OFFSET(reserve), "0", 0, 1, "0|1",
	  "spend a part of a client account's rate while the holder of its "
	  "group cannot be reached" },
	{ "draw-wait-ms", SETTING_NUMBER, OFFSET(draw_wait_ms), "2000", 1,
	  60000, "MS",
	  "longest wait of a request for a token of the rate limit" },
	{ "booking-wait-ms", SETTING_NUMBER, OFFSET(booking_wait_ms), "250", 1,
	  60000, "MS", "longest wait of a non-idempotent request in a queue" },
	{ "registry-apply-ms", SETTING_NUMBER, OFFSET(registry_apply_ms),
	  "2000", 200, 60000, "MS",
	  "time within which a change of the registry of backend servers must "
	  "be known" },
	{ "registry-hosts-per-reader", SETTING_NUMBER,
	  OFFSET(registry_hosts_per_reader), "32", 0, 4096, "N",
	  "hosts for each node that reads the registry; the others hear of "
	  "changes from it, 0 to let every node read" },
	{ "config-file", SETTING_TEXT, OFFSET(config_file), NULL, 0, 0, "FILE",
	  "configuration document; read again when it changes" },
	{ "config-url", SETTING_URL, OFFSET(config_url), NULL, 0, 0, "URL",
	  "base URL of the configuration service" },
	{ "config-public-key", SETTING_HEX_KEY, OFFSET(config_public_key), NULL,
	  0, 0, "HEX", "operators' Ed25519 public key" },
	{ "host-list-ms", SETTING_NUMBER, OFFSET(host_list_ms), "2000", 0,
	  60000, "MS",
	  "mean time between reads of the platform's list of hosts, 0 for "
	  "never" },
	{ "curve-secret", SETTING_CURVE_KEY, OFFSET(curve_secret), NULL, 0, 0,
	  "Z85", "CURVE secret key; prefer the environment variable" },
	{ "bind-address", SETTING_ADDRESS, OFFSET(bind_address), NULL, 0, 0,
	  "IP", "address for other nodes, by default the configured one" },
	{ "front-threads", SETTING_NUMBER, OFFSET(front_threads), "2", 2, 64,
	  "N", "threads for callers' connections" },
	{ "connection-limit", SETTING_NUMBER, OFFSET(connection_limit), "2000",
	  1, 100000, "N", "most connections of callers" },
	{ "body-memory-mb", SETTING_NUMBER, OFFSET(body_memory_mb), "0", 0,
	  1048576, "MB",
	  "most memory for bodies of requests and responses, 0 for a quarter of "
	  "the machine's memory, at least 64 and at most 256" },
	{ "body-stall-ms", SETTING_NUMBER, OFFSET(body_stall_ms), "1000", 10,
	  600000, "MS",
	  "time without progress after which a body gives way to others" },
	{ "idle-timeout-s", SETTING_NUMBER, OFFSET(idle_timeout_s), "60", 1,
	  3600, "S", "idle or stalled connections are closed after this time" },
	{ "grace-ms", SETTING_NUMBER, OFFSET(grace_ms), "30000", 0, 600000,
	  "MS", "longest graceful shutdown" },
	{ "lease-term-ms", SETTING_NUMBER, OFFSET(lease_term_ms), "8000", 4000,
	  60000, "MS", "term of leases; must be equal on all nodes" },
	{ "freshness-ms", SETTING_NUMBER, OFFSET(freshness_ms), "10000", 500,
	  60000, "MS",
	  "bound on the age of liveness evidence; must be equal on all nodes" },
	{ "trace-url", SETTING_URL, OFFSET(trace_url), NULL, 0, 0, "URL",
	  "OTLP/HTTP endpoint for traces, by default none" },
	{ "trace-ratio", SETTING_RATIO, OFFSET(trace_ratio), "1.0", 0, 0,
	  "RATIO", "share of requests without traceparent to trace, 0 to 1" },
	{ "log-level", SETTING_LOG_LEVEL, OFFSET(log_level), "info", 0, 0,
	  "LEVEL", "error, warning, info or debug" },
};

#define SETTINGS_COUNT G_N_ELEMENTS(setting_table)

/*
 * Settings with the origin of each. The public part comes first, so that a
 * pointer to it is also a pointer to the whole.
 */
struct settings_private {
	struct bb_settings s;
	enum bb_setting_origin origins[SETTINGS_COUNT];
};

static char *variable_name(const struct setting *d)
{
	char *s = g_strdup_printf("BAOBABWARD_%s", d->flag);

	for (char *p = s; *p; p++)
		*p = *p == '-' ? '_' : g_ascii_toupper(*p);
	return s;
}

static bool is_url(const char *v)
{
	return g_str_has_prefix(v, "http://") && v[strlen("http://")];
}

static bool is_address(const char *v)
{
	unsigned char buffer[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, v, buffer) == 1 ||
	       inet_pton(AF_INET6, v, buffer) == 1;
}

/*
 * Splits IPv4:PORT. Text with more than one colon is an IPv6 address without a
 * port.
 */
static bool split_endpoint(const char *v, char **address, uint32_t *port)
{
	const char *colon = strchr(v, ':');
	guint64 n;

	if (!colon || strchr(colon + 1, ':') ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &n, NULL))
		return false;
	*address = g_strndup(v, (gsize)(colon - v));
	*port = (uint32_t)n;
	return true;
}

static bool is_endpoint(const char *v)
{
	char *address;
	uint32_t port;
	bool ok;

	if (!split_endpoint(v, &address, &port))
		return is_address(v);
	ok = is_address(address);
	g_free(address);
	return ok;
}

static bool is_hex_key(const char *v)
{
	return strlen(v) == 64 && strspn(v, "0123456789abcdef") == 64;
}

static bool is_log_level(const char *v)
{
	return !strcmp(v, "error") || !strcmp(v, "warning") ||
	       !strcmp(v, "info") || !strcmp(v, "debug");
}

/* Return: the rule that the value violates, or NULL if it is valid. */
static const char *check_text(const struct setting *d, const char *v)
{
	switch (d->kind) {
	case SETTING_NAME:
		return *v && strlen(v) <= 128 ? NULL :
						"must be 1 to 128 bytes long";
	case SETTING_ADDRESS:
		return is_address(v) ? NULL : "must be an IP address";
	case SETTING_URL:
		return is_url(v) ? NULL : "must start with http://";
	case SETTING_HEX_KEY:
		return is_hex_key(v) ?
			       NULL :
			       "must be 64 lower-case hexadecimal digits";
	case SETTING_CURVE_KEY:
		return strlen(v) == BB_CURVE_KEY_SIZE ?
			       NULL :
			       "must be 40 Z85 characters long";
	case SETTING_LOG_LEVEL:
		return is_log_level(v) ?
			       NULL :
			       "must be error, warning, info or debug";
	case SETTING_ENDPOINT:
		return is_endpoint(v) ? NULL :
					"must be an IP address, or an IPv4 "
					"address with "
					":port";
	case SETTING_TEXT:
	case SETTING_NUMBER:
	case SETTING_RATIO:
		break;
	}
	return *v ? NULL : "must not be empty";
}

static void add_problem(GString *problems, const struct setting *d,
			enum bb_setting_origin origin, const char *value,
			const char *rule)
{
	bool secret = d->kind == SETTING_CURVE_KEY;

	if (problems->len)
		g_string_append(problems, "; ");
	g_string_append_printf(problems, "--%s from %s: \"%s\" %s", d->flag,
			       bb_setting_origin_string[origin],
			       secret ? "(secret)" : value, rule);
}

static bool parse_ratio(const char *v, double *ratio)
{
	char *end;

	/*
	 * g_ascii_strtod() also accepts "nan", "inf", leading blanks and
	 * hexadecimal numbers.
	 */
	if (!*v || strspn(v, "0123456789.") != strlen(v))
		return false;
	*ratio = g_ascii_strtod(v, &end);
	return !*end && *ratio <= 1;
}

static void set_value(struct settings_private *p, size_t i, const char *value,
		      enum bb_setting_origin origin, GString *problems)
{
	const struct setting *d = &setting_table[i];
	char *at = (char *)&p->s + d->offset;

	p->origins[i] = origin;
	if (d->kind == SETTING_NUMBER) {
		guint64 n;

		if (!g_ascii_string_to_unsigned(value, 10, d->min, d->max, &n,
						NULL)) {
			char rule[96];

			g_snprintf(rule, sizeof(rule),
				   "must be a number from %" G_GUINT64_FORMAT
				   " to %" G_GUINT64_FORMAT,
				   d->min, d->max);
			add_problem(problems, d, origin, value, rule);
			return;
		}
		*(uint32_t *)(void *)at = (uint32_t)n;
		return;
	}
	if (d->kind == SETTING_RATIO) {
		if (!parse_ratio(value, (double *)(void *)at))
			add_problem(problems, d, origin, value,
				    "must be a number from 0 to 1");
		return;
	}
	if (check_text(d, value))
		add_problem(problems, d, origin, value, check_text(d, value));
	*(char **)(void *)at = g_strdup(value);
}

static void check_combinations(const struct bb_settings *s, bool from_feed,
			       GString *problems)
{
	const char *rule = NULL;

	if (!s->host)
		rule = "--host is required";
	else if (from_feed)
		rule = s->config_file || s->config_url ?
			       "--config-file and --config-url cannot be used "
			       "with a configuration feed" :
			       NULL;
	else if (!s->config_file == !s->config_url)
		rule = "exactly one of --config-file and --config-url is "
		       "required";
	else if (s->config_url && !s->config_public_key)
		rule = "--config-url needs --config-public-key";
	if (!rule)
		return;
	if (problems->len)
		g_string_append(problems, "; ");
	g_string_append(problems, rule);
}

static GOptionContext *option_context(char **values, GOptionEntry *entries)
{
	GOptionContext *c = g_option_context_new(NULL);

	for (size_t i = 0; i < SETTINGS_COUNT; i++) {
		entries[i].long_name = setting_table[i].flag;
		entries[i].arg = G_OPTION_ARG_STRING;
		entries[i].arg_data = &values[i];
		entries[i].description = setting_table[i].help;
		entries[i].arg_description = setting_table[i].argument;
	}
	g_option_context_add_main_entries(c, entries, NULL);
	g_option_context_set_help_enabled(c, FALSE);
	g_option_context_set_summary(
		c, "Proxy node beside the backend servers of one host.");
	g_option_context_set_description(
		c, "Each flag can also be given as BAOBABWARD_<FLAG> in the "
		   "environment.");
	return c;
}

/* A port given with the address overrides the setting of the port. */
static void split_port(char **listen, uint32_t *port)
{
	char *address;

	if (!*listen || !split_endpoint(*listen, &address, port))
		return;
	g_free(*listen);
	*listen = address;
}

static struct settings_private *collect(char **values, bool from_feed,
					GString *problems)
{
	struct settings_private *p = g_new0(struct settings_private, 1);

	for (size_t i = 0; i < SETTINGS_COUNT; i++) {
		char *name = variable_name(&setting_table[i]);
		const char *variable = g_getenv(name);

		if (values[i])
			set_value(p, i, values[i], BB_SETTING_FLAG, problems);
		else if (variable)
			set_value(p, i, variable, BB_SETTING_ENVIRONMENT,
				  problems);
		else if (setting_table[i].default_value)
			set_value(p, i, setting_table[i].default_value,
				  BB_SETTING_DEFAULT, problems);
		g_free(name);
	}
	split_port(&p->s.listen, &p->s.port);
	split_port(&p->s.admin_listen, &p->s.admin_port);
	check_combinations(&p->s, from_feed, problems);
	return p;
}

static struct bb_settings *parse(int *argc, char ***argv, bool from_feed,
				 char **help, struct bb_error *err)
{
	char *values[SETTINGS_COUNT] = { 0 };
	GOptionEntry entries[SETTINGS_COUNT + 2] = { 0 };
	struct settings_private *p = NULL;
	GString *problems = g_string_new(NULL);
	GError *parse_error = NULL;
	gboolean want_help = FALSE;
	GOptionContext *c;

	*help = NULL;
	entries[SETTINGS_COUNT] = (GOptionEntry){ "help",     'h',
						  0,	      G_OPTION_ARG_NONE,
						  &want_help, "show this help",
						  NULL };
	c = option_context(values, entries);
	if (!g_option_context_parse(c, argc, argv, &parse_error)) {
		g_string_append(problems, parse_error->message);
		g_error_free(parse_error);
	} else if (want_help) {
		*help = g_option_context_get_help(c, TRUE, NULL);
	} else if (*argc > 1) {
		g_string_append_printf(problems, "unexpected argument \"%s\"",
				       (*argv)[1]);
	} else {
		p = collect(values, from_feed, problems);
	}
	if (problems->len) {
		bb_error_set(err, BB_ERROR_INVALID, "%s", problems->str);
		bb_settings_delete(p ? &p->s : NULL);
		p = NULL;
	}
	for (size_t i = 0; i < SETTINGS_COUNT; i++)
		g_free(values[i]);
	g_option_context_free(c);
	g_string_free(problems, TRUE);
	return p ? &p->s : NULL;
}

struct bb_settings *bb_settings_parse(int *argc, char ***argv, char **help,
				      struct bb_error *err)
{
	return parse(argc, argv, false, help, err);
}

struct bb_settings *bb_settings_parse_for_feed(int *argc, char ***argv,
					       char **help,
					       struct bb_error *err)
{
	return parse(argc, argv, true, help, err);
}

static json_t *value_json(const struct bb_settings *s, const struct setting *d)
{
	const char *at = (const char *)s + d->offset;
	const char *text;

	if (d->kind == SETTING_NUMBER)
		return json_integer(*(const uint32_t *)(const void *)at);
	if (d->kind == SETTING_RATIO)
		return json_real(*(const double *)(const void *)at);
	text = *(char *const *)(const void *)at;
	if (!text)
		return json_null();
	return json_string(d->kind == SETTING_CURVE_KEY ? "set" : text);
}

char *bb_settings_json(const struct bb_settings *s)
{
	const struct settings_private *p = (const struct settings_private *)s;
	json_t *o = json_object();
	char *text;

	for (size_t i = 0; i < SETTINGS_COUNT; i++) {
		json_t *row = json_object();

		json_object_set_new(row, "value",
				    value_json(s, &setting_table[i]));
		json_object_set_new(
			row, "from",
			json_string(bb_setting_origin_string[p->origins[i]]));
		json_object_set_new(o, setting_table[i].flag, row);
	}
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

void bb_settings_delete(struct bb_settings *s)
{
	if (!s)
		return;
	for (size_t i = 0; i < SETTINGS_COUNT; i++) {
		char *at = (char *)s + setting_table[i].offset;

		if (setting_table[i].kind != SETTING_NUMBER &&
		    setting_table[i].kind != SETTING_RATIO)
			g_free(*(char **)(void *)at);
	}
	g_free(s);
}
