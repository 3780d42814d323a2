/* Columns of the tables and the rules of single values. */
#include "config_internal.h"

#include <arpa/inet.h>
#include <assert.h>
#include <math.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/keys.h"
#include "baobabward/wire.h"
#include "uri_path.h"

const char *const bb_backend_state_string[] = { "in", "leaving", "out" };

static_assert(sizeof(bb_backend_state_string) /
			      sizeof(*bb_backend_state_string) ==
		      BB_BACKEND_STATE_COUNT,
	      "bb_backend_state_string must have a string for each state");

const char *const bb_access_string[] = { "internal", "open", "public" };

static_assert(sizeof(bb_access_string) / sizeof(*bb_access_string) ==
		      BB_ACCESS_COUNT,
	      "bb_access_string must have a string for each access");

const char *const bb_method_string[BB_METHOD_COUNT] = {
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"
};

/*
 * Limits of weights, with which the quotients of fair queueing stay far from
 * overflow and its rounds short.
 */
#define WEIGHT_MIN 0.001
#define WEIGHT_MAX 1000000.0
/* Maximum number of services that share one route. */
#define SPLIT_MAX 64
#define COLUMN(type, field, kind_, min_, max_, optional_)               \
	{                                                               \
		.name = #field, .offset = offsetof(struct type, field), \
		.min = (min_), .max = (max_), .kind = (kind_),          \
		.optional = (optional_)                                 \
	}

/* An optional column, omitted from written rows if it has its default value. */
#define SPARSE(type, field, kind_, min_, max_)                          \
	{                                                               \
		.name = #field, .offset = offsetof(struct type, field), \
		.min = (min_), .max = (max_), .kind = (kind_),          \
		.optional = true, .sparse = true                        \
	}

static const struct bb_column host_columns[] = {
	COLUMN(bb_host, name, BB_COLUMN_NAME, 0, 0, false),
	COLUMN(bb_host, region, BB_COLUMN_NAME, 0, 0, false),
	COLUMN(bb_host, zone, BB_COLUMN_NAME, 0, 0, false),
	COLUMN(bb_host, address, BB_COLUMN_ADDRESS, 0, 0, false),
	COLUMN(bb_host, data_port, BB_COLUMN_U16, 1, UINT16_MAX, false),
	COLUMN(bb_host, control_port, BB_COLUMN_U16, 1, UINT16_MAX, false),
	COLUMN(bb_host, curve_key, BB_COLUMN_CURVE_KEY, 0, 0, true),
	SPARSE(bb_host, evacuated, BB_COLUMN_BOOL, 0, 0),
};

static const struct bb_column service_columns[] = {
	COLUMN(bb_service, name, BB_COLUMN_LABEL, 0, 0, false),
	COLUMN(bb_service, floor_percent, BB_COLUMN_U32, 0, 100, false),
	SPARSE(bb_service, health_path, BB_COLUMN_TARGET, 0, 0),
	SPARSE(bb_service, warmup_ms, BB_COLUMN_U32, 0, BB_WARMUP_MAX_MS),
	SPARSE(bb_service, warmup_per_s, BB_COLUMN_REAL, 0, BB_RATE_MAX),
	SPARSE(bb_service, warmup_max, BB_COLUMN_REAL, 0, BB_RATE_MAX),
};

static const struct bb_column backend_columns[] = {
	COLUMN(bb_backend, name, BB_COLUMN_NAME, 0, 0, false),
	COLUMN(bb_backend, host, BB_COLUMN_HOST, 0, 0, false),
	COLUMN(bb_backend, service, BB_COLUMN_SERVICE, 0, 0, false),
	COLUMN(bb_backend, url, BB_COLUMN_URL, 0, 0, false),
	COLUMN(bb_backend, weight, BB_COLUMN_REAL, WEIGHT_MIN, WEIGHT_MAX,
	       false),
	COLUMN(bb_backend, slots, BB_COLUMN_U32, 1, BB_BACKEND_SLOTS_MAX,
	       false),
	COLUMN(bb_backend, max_connections, BB_COLUMN_U32, 1,
	       BB_BACKEND_CONNECTIONS_MAX, false),
	COLUMN(bb_backend, state, BB_COLUMN_STATE, 0, 0, false),
	SPARSE(bb_backend, started_ms, BB_COLUMN_REAL, 0,
	       BB_BACKEND_STARTED_MS_MAX),
};

static const struct bb_column route_columns[] = {
	COLUMN(bb_route, name, BB_COLUMN_LABEL, 0, 0, false),
	COLUMN(bb_route, path_prefix, BB_COLUMN_PATH, 0, 0, false),
	COLUMN(bb_route, methods, BB_COLUMN_METHODS, 0, 0, false),
	COLUMN(bb_route, service, BB_COLUMN_SERVICE, 0, 0, false),
	SPARSE(bb_route, host_name, BB_COLUMN_HOST_NAME, 0, 0),
	SPARSE(bb_route, split, BB_COLUMN_SPLIT, 0, 0),
	COLUMN(bb_route, idempotent, BB_COLUMN_BOOL, 0, 0, false),
	COLUMN(bb_route, access, BB_COLUMN_ACCESS, 0, 0, false),
	COLUMN(bb_route, max_body_bytes, BB_COLUMN_U32, 0, UINT32_MAX, false),
	COLUMN(bb_route, timeout_ms, BB_COLUMN_U32, 1, BB_TIMEOUT_MAX_MS,
	       false),
	SPARSE(bb_route, target_latency_ms, BB_COLUMN_U32, 0,
	       BB_TIMEOUT_MAX_MS),
	SPARSE(bb_route, priority, BB_COLUMN_U32, 0, BB_PRIORITY_MAX),
	SPARSE(bb_route, max_attempts, BB_COLUMN_U32, 0, BB_ROUTE_ATTEMPTS_MAX),
};

static const struct bb_column account_columns[] = {
	COLUMN(bb_account, name, BB_COLUMN_LABEL, 0, 0, false),
	COLUMN(bb_account, rate_per_s, BB_COLUMN_REAL, 0, BB_RATE_MAX, false),
	COLUMN(bb_account, burst, BB_COLUMN_REAL, 1, BB_RATE_MAX, false),
	COLUMN(bb_account, weight, BB_COLUMN_REAL, WEIGHT_MIN, WEIGHT_MAX,
	       false),
	SPARSE(bb_account, unlimited, BB_COLUMN_BOOL, 0, 0),
	SPARSE(bb_account, ranked, BB_COLUMN_BOOL, 0, 0),
	SPARSE(bb_account, priority, BB_COLUMN_U32, 0, BB_PRIORITY_MAX),
	COLUMN(bb_account, key_hashes, BB_COLUMN_KEY_HASHES, 0, 0, false),
};

#define TABLE(name, columns, type)                                        \
	{                                                                 \
		name, columns, G_N_ELEMENTS(columns), sizeof(struct type) \
	}

const struct bb_table_description bb_tables[BB_TABLE_COUNT] = {
	TABLE("hosts", host_columns, bb_host),
	TABLE("services", service_columns, bb_service),
	TABLE("backends", backend_columns, bb_backend),
	TABLE("routes", route_columns, bb_route),
	TABLE("accounts", account_columns, bb_account),
};

unsigned int bb_method_parse(const char *name)
{
	for (size_t i = 0; i < BB_METHOD_COUNT; i++)
		if (!strcmp(name, bb_method_string[i]))
			return 1U << i;
	return 0;
}

const char *bb_quote(const char *value, char *buffer, size_t size)
{
	size_t i;

	/* A key in the wrong column must not get into a log. */
	if (strstr(value, BB_KEY_PREFIX)) {
		g_strlcpy(buffer, "(key)", size);
		return buffer;
	}
	for (i = 0; value[i] && i + 4 < size; i++)
		buffer[i] = value[i] >= ' ' && value[i] < 0x7f ? value[i] : '?';
	buffer[i] = '\0';
	if (value[i])
		g_strlcat(buffer, "...", size);
	return buffer;
}

int bb_location_error(const struct bb_location *location, struct bb_error *err,
		      const char *format, ...)
{
	char name[BB_QUOTE_SIZE];
	GString *s = g_string_new(location->table);
	va_list ap;

	if (location->row)
		g_string_append_printf(s, " row %zu", location->row);
	if (location->name)
		g_string_append_printf(s, " (name \"%s\")",
				       bb_quote(location->name, name,
						sizeof(name)));
	if (location->column)
		g_string_append_printf(s, ", column %s", location->column);
	g_string_append(s, ": ");
	va_start(ap, format);
	g_string_append_vprintf(s, format, ap);
	va_end(ap);
	bb_error_set(err, BB_ERROR_INVALID, "%s", s->str);
	g_string_free(s, TRUE);
	return -1;
}

static int fail_value(const struct bb_location *location, const char *value,
		      const char *rule, struct bb_error *err)
{
	char quoted[BB_QUOTE_SIZE];

	return bb_location_error(location, err, "\"%s\" %s",
				 bb_quote(value, quoted, sizeof(quoted)), rule);
}

static bool is_printable(const char *s, size_t size)
{
	for (size_t i = 0; i < size; i++)
		if (s[i] <= ' ' || s[i] >= 0x7f)
			return false;
	return true;
}

bool bb_config_is_name(const char *s)
{
	size_t size = s ? strlen(s) : 0;

	return size && size <= BB_NAME_MAX && is_printable(s, size);
}

static bool is_label(const char *s, size_t size)
{
	if (!g_utf8_validate(s, (gssize)size, NULL) || s[0] == ' ' ||
	    (size && s[size - 1] == ' '))
		return false;
	for (size_t i = 0; i < size; i++)
		if ((unsigned char)s[i] < ' ' || s[i] == 0x7f)
			return false;
	return true;
}

bool bb_config_is_label(const char *s)
{
	size_t size = s ? strlen(s) : 0;

	return size && size <= BB_NAME_MAX && is_label(s, size);
}

/* Text of a string value of at most @max bytes, or NULL. */
static const char *read_bounded(const struct bb_location *location,
				const json_t *value, size_t max,
				struct bb_error *err)
{
	const char *s = json_string_value(value);
	size_t size = json_string_length(value);

	if (!s) {
		bb_location_error(location, err, "value is not a string");
		return NULL;
	}
	if (!size) {
		bb_location_error(location, err, "value is empty");
		return NULL;
	}
	if (size > max) {
		bb_location_error(location, err,
				  "value of %zu bytes is longer than %zu bytes",
				  size, max);
		return NULL;
	}
	return s;
}

static const char *read_label(const struct bb_location *location,
			      const json_t *value, struct bb_error *err)
{
	const char *s = read_bounded(location, value, BB_NAME_MAX, err);

	if (!s || is_label(s, json_string_length(value)))
		return s;
	fail_value(
		location, s,
		"has a control character, a space at an end, or is not UTF-8",
		err);
	return NULL;
}

/* Text of a string value, or NULL unless it is printable without spaces. */
static const char *read_text(const struct bb_location *location,
			     const json_t *value, size_t max,
			     struct bb_error *err)
{
	const char *s = read_bounded(location, value, max, err);

	if (s && !is_printable(s, json_string_length(value))) {
		fail_value(location, s,
			   "has a character that is not printable ASCII or is "
			   "a space",
			   err);
		return NULL;
	}
	return s;
}

static bool is_ip(const char *s)
{
	unsigned char address[sizeof(struct in6_addr)];

	return inet_pton(AF_INET, s, address) == 1 ||
	       inet_pton(AF_INET6, s, address) == 1;
}

/* A decimal number from 1 to 65535 without sign or leading zero. */
static bool is_port(const char *s)
{
	size_t size = strspn(s, "0123456789");

	return size >= 1 && size <= 5 && !s[size] && s[0] != '0' &&
	       strtoul(s, NULL, 10) <= UINT16_MAX;
}

static bool is_url(const char *s)
{
	char address[INET6_ADDRSTRLEN + 1];
	unsigned char binary[sizeof(struct in6_addr)];
	const char *start = s + strlen("http://");
	const char *colon = strrchr(s, ':');
	size_t size;

	if (!g_str_has_prefix(s, "http://") || colon < start)
		return false;
	size = colon - start;
	if (!size || size > INET6_ADDRSTRLEN || !is_port(colon + 1))
		return false;
	memcpy(address, start, size);
	address[size] = '\0';
	if (address[0] != '[')
		return inet_pton(AF_INET, address, binary) == 1;
	if (address[size - 1] != ']')
		return false;
	address[size - 1] = '\0';
	return inet_pton(AF_INET6, address + 1, binary) == 1;
}

/* Rejects empty, "." and ".." segments, ?, # and a % that encodes no byte; may
 * end in '/'. */
bool bb_config_is_path_prefix(const char *s)
{
	if (s[0] != '/' || strlen(s) > BB_PATH_PREFIX_MAX || strpbrk(s, "?#") ||
	    !bb_uri_path_is_encoded(s) || bb_uri_path_has_dot_segment(s))
		return false;
	while (*s && s[1]) {
		size_t size = strcspn(++s, "/");

		if (!size)
			return false;
		s += size;
	}
	return true;
}

static size_t max_size(enum bb_column_kind kind)
{
	if (kind == BB_COLUMN_PATH || kind == BB_COLUMN_TARGET)
		return BB_PATH_PREFIX_MAX;
	return kind == BB_COLUMN_HOST_NAME ? BB_HOST_NAME_MAX : BB_NAME_MAX;
}

static int read_string(struct bb_config_builder *b,
		       const struct bb_column *column,
		       const struct bb_location *location, const json_t *value,
		       char **field, struct bb_error *err)
{
	const char *s =
		column->kind == BB_COLUMN_LABEL ?
			read_label(location, value, err) :
			read_text(location, value, max_size(column->kind), err);

	if (!s)
		return -1;
	if (column->kind == BB_COLUMN_ADDRESS && !is_ip(s))
		return fail_value(location, s, "is not an IP number", err);
	if (column->kind == BB_COLUMN_URL && !is_url(s))
		return fail_value(location, s, "is not http://IP:port", err);
	if (column->kind == BB_COLUMN_PATH && !bb_config_is_path_prefix(s))
		return fail_value(location, s,
				  "is not / or /segment without empty, . and "
				  ".. segments, ?, # and a % that encodes no "
				  "byte",
				  err);
	if (column->kind == BB_COLUMN_TARGET && (s[0] != '/' || strchr(s, '#')))
		return fail_value(location, s,
				  "is not a path with or without a query", err);
	*field = g_string_chunk_insert_const(b->config->index->strings, s);
	return 0;
}

static int read_curve_key(const struct bb_location *location,
			  const json_t *value, char *field,
			  struct bb_error *err)
{
	static const char z85[] = "0123456789abcdefghijklmnopqrstuvwxyz"
				  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  ".-:+=^!/*?&<>()[]{}@%$#";
	const char *s = json_string_value(value);

	if (!s)
		return bb_location_error(location, err,
					 "value is not a string");
	if (*s && (json_string_length(value) != BB_CURVE_KEY_SIZE ||
		   strspn(s, z85) != BB_CURVE_KEY_SIZE))
		return bb_location_error(location, err,
					 "value is not empty or %d Z85 digits",
					 BB_CURVE_KEY_SIZE);
	g_strlcpy(field, s, BB_CURVE_KEY_SIZE + 1);
	return 0;
}

static int read_number(const struct bb_column *column,
		       const struct bb_location *location, const json_t *value,
		       void *field, struct bb_error *err)
{
	double d = json_number_value(value);

	if (column->kind == BB_COLUMN_REAL ? !json_is_number(value) :
					     !json_is_integer(value))
		return bb_location_error(location, err, "value is not %s",
					 column->kind == BB_COLUMN_REAL ?
						 "a number" :
						 "a whole number");
	if (!isfinite(d) || d < column->min || d > column->max)
		return bb_location_error(location, err,
					 "%.15g is not between %.15g and %.15g",
					 d, column->min, column->max);
	if (column->kind == BB_COLUMN_U16)
		*(uint16_t *)field = json_integer_value(value);
	else if (column->kind == BB_COLUMN_U32)
		*(uint32_t *)field = json_integer_value(value);
	else
		*(double *)field = d;
	return 0;
}

static int read_reference(struct bb_config_builder *b, enum bb_table table,
			  const char *kind, const struct bb_location *location,
			  const json_t *value, uint32_t *field,
			  struct bb_error *err)
{
	const char *s = read_label(location, value, err);
	char rule[64];

	if (!s)
		return -1;
	*field = bb_config_index_find(b->config, table, s, strlen(s));
	if (*field != BB_NO_ROW)
		return 0;
	g_snprintf(rule, sizeof(rule), "is not a defined %s", kind);
	return fail_value(location, s, rule, err);
}

static int read_state(const struct bb_location *location, const json_t *value,
		      enum bb_backend_state *field, struct bb_error *err)
{
	const char *s = read_text(location, value, BB_NAME_MAX, err);

	if (!s)
		return -1;
	for (int i = 0; i < BB_BACKEND_STATE_COUNT; i++) {
		if (!strcmp(s, bb_backend_state_string[i])) {
			*field = i;
			return 0;
		}
	}
	return fail_value(location, s, "is not in, leaving or out", err);
}

static int read_access(const struct bb_location *location, const json_t *value,
		       enum bb_access *access, struct bb_error *err)
{
	const char *s = read_text(location, value, BB_NAME_MAX, err);

	if (!s)
		return -1;
	for (int i = 0; i < BB_ACCESS_COUNT; i++) {
		if (!strcmp(s, bb_access_string[i])) {
			*access = i;
			return 0;
		}
	}
	return fail_value(location, s, "is not internal, open or public", err);
}

static int read_weighted_service(struct bb_config_builder *b,
				 const struct bb_location *location,
				 const json_t *item,
				 struct bb_weighted_service *part,
				 struct bb_error *err)
{
	const struct bb_column weight = { .kind = BB_COLUMN_REAL,
					  .min = WEIGHT_MIN,
					  .max = WEIGHT_MAX };

	if (!json_is_object(item) || json_object_size(item) != 2)
		return bb_location_error(
			location, err,
			"part is not an object with service and "
			"weight");
	if (read_reference(b, BB_TABLE_SERVICES, "service", location,
			   json_object_get(item, "service"), &part->service,
			   err))
		return -1;
	return read_number(&weight, location, json_object_get(item, "weight"),
			   &part->weight, err);
}

static int read_split(struct bb_config_builder *b,
		      const struct bb_location *location, const json_t *value,
		      struct bb_route *r, struct bb_error *err)
{
	size_t nr = json_array_size(value);
	size_t i;
	json_t *item;

	if (!nr || nr > SPLIT_MAX)
		return bb_location_error(location, err,
					 "value is not a list of 1 to %d parts",
					 SPLIT_MAX);
	r->split = g_new0(struct bb_weighted_service, nr);
	r->split_nr = nr;
	json_array_foreach (value, i, item)
		if (read_weighted_service(b, location, item, &r->split[i], err))
			return -1;
	if (r->split[0].service != r->service)
		return bb_location_error(
			location, err, "first part is not the column service");
	return 0;
}

static int read_methods(const struct bb_location *location, const json_t *value,
			unsigned int *methods, struct bb_error *err)
{
	size_t i;
	json_t *item;

	if (!json_array_size(value))
		return bb_location_error(location, err,
					 "value is not a list of one or more "
					 "methods");
	json_array_foreach (value, i, item) {
		const char *s = read_text(location, item, BB_NAME_MAX, err);
		unsigned int bit;

		if (!s)
			return -1;
		bit = bb_method_parse(s);
		if (!bit)
			return fail_value(location, s,
					  "is not a supported method", err);
		if (*methods & bit)
			return fail_value(location, s, "is listed twice", err);
		*methods |= bit;
	}
	return 0;
}

/*
 * A value may be a key that the operator entered by mistake, so errors tell
 * only its position.
 */
static int read_key_hashes(const struct bb_location *location,
			   const json_t *value, struct bb_account *a,
			   struct bb_error *err)
{
	size_t i;
	json_t *item;

	if (!json_is_array(value))
		return bb_location_error(location, err, "value is not a list");
	if (!json_array_size(value))
		return 0;
	a->key_hashes = g_malloc(json_array_size(value) * BB_KEY_HASH_SIZE);
	json_array_foreach (value, i, item) {
		if (bb_key_hash_parse(json_string_value(item),
				      json_string_length(item),
				      a->key_hashes[i]))
			return bb_location_error(
				location, err,
				"hash %zu is not a string of %d "
				"lower-case hexadecimal digits",
				i + 1, BB_KEY_HASH_SIZE * 2);
		a->key_hashes_nr = i + 1;
	}
	return 0;
}

int bb_column_read(struct bb_config_builder *b, const struct bb_column *column,
		   const struct bb_location *location, const json_t *value,
		   void *field, struct bb_error *err)
{
	switch (column->kind) {
	case BB_COLUMN_NAME:
	case BB_COLUMN_LABEL:
	case BB_COLUMN_HOST_NAME:
	case BB_COLUMN_TARGET:
	case BB_COLUMN_ADDRESS:
	case BB_COLUMN_URL:
	case BB_COLUMN_PATH:
		return read_string(b, column, location, value, field, err);
	case BB_COLUMN_CURVE_KEY:
		return read_curve_key(location, value, field, err);
	case BB_COLUMN_U16:
	case BB_COLUMN_U32:
	case BB_COLUMN_REAL:
		return read_number(column, location, value, field, err);
	case BB_COLUMN_BOOL:
		if (!json_is_boolean(value))
			return bb_location_error(location, err,
						 "value is not true or false");
		*(bool *)field = json_is_true(value);
		return 0;
	case BB_COLUMN_HOST:
		return read_reference(b, BB_TABLE_HOSTS, "host", location,
				      value, field, err);
	case BB_COLUMN_SERVICE:
		return read_reference(b, BB_TABLE_SERVICES, "service", location,
				      value, field, err);
	case BB_COLUMN_STATE:
		return read_state(location, value, field, err);
	case BB_COLUMN_METHODS:
		return read_methods(location, value, field, err);
	case BB_COLUMN_ACCESS:
		return read_access(location, value, field, err);
	case BB_COLUMN_SPLIT:
		return read_split(b, location, value,
				  (void *)((char *)field -
					   offsetof(struct bb_route, split)),
				  err);
	case BB_COLUMN_KEY_HASHES:
		return read_key_hashes(
			location, value,
			(void *)((char *)field -
				 offsetof(struct bb_account, key_hashes)),
			err);
	case BB_COLUMN_KIND_COUNT:
		break;
	}
	return bb_location_error(location, err, "unknown kind of column");
}
