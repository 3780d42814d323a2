/* Parses documents, builds snapshots, and checks the rules between values. */
#include "config_internal.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

/* Maximum time for which idempotency keys are remembered: a week. */
#define IDEMPOTENCY_WINDOW_MAX_MS (7 * 86400000LL)

const void *bb_config_row(const struct bb_config *c, enum bb_table table,
			  size_t i)
{
	switch (table) {
	case BB_TABLE_HOSTS:
		return &c->hosts[i];
	case BB_TABLE_SERVICES:
		return &c->services[i];
	case BB_TABLE_BACKENDS:
		return &c->backends[i];
	case BB_TABLE_ROUTES:
		return &c->routes[i];
	case BB_TABLE_ACCOUNTS:
		return &c->accounts[i];
	case BB_TABLE_COUNT:
		break;
	}
	return NULL;
}

size_t bb_config_rows_nr(const struct bb_config *c, enum bb_table table)
{
	const size_t nr[BB_TABLE_COUNT] = { c->hosts_nr, c->services_nr,
					    c->backends_nr, c->routes_nr,
					    c->accounts_nr };

	return nr[table];
}

const char *bb_config_row_name(const struct bb_config *c, enum bb_table table,
			       size_t i)
{
	/* The name is the first field of every row struct. */
	return *(char *const *)bb_config_row(c, table, i);
}

struct bb_config_builder *bb_config_builder_new(void)
{
	struct bb_config_builder *b = g_new0(struct bb_config_builder, 1);

	b->config = g_new0(struct bb_config, 1);
	b->config->index = bb_config_index_new();
	for (int i = 0; i < BB_TABLE_COUNT; i++)
		b->rows[i] = g_array_new(FALSE, TRUE, bb_tables[i].row_size);
	b->zones = g_hash_table_new(g_str_hash, g_str_equal);
	b->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return b;
}

/* Points the snapshot's tables to the arrays, which move when they grow. */
static void update_tables(struct bb_config_builder *b)
{
	struct bb_config *c = b->config;

	c->hosts = (void *)b->rows[BB_TABLE_HOSTS]->data;
	c->hosts_nr = b->rows[BB_TABLE_HOSTS]->len;
	c->services = (void *)b->rows[BB_TABLE_SERVICES]->data;
	c->services_nr = b->rows[BB_TABLE_SERVICES]->len;
	c->backends = (void *)b->rows[BB_TABLE_BACKENDS]->data;
	c->backends_nr = b->rows[BB_TABLE_BACKENDS]->len;
	c->routes = (void *)b->rows[BB_TABLE_ROUTES]->data;
	c->routes_nr = b->rows[BB_TABLE_ROUTES]->len;
	c->accounts = (void *)b->rows[BB_TABLE_ACCOUNTS]->data;
	c->accounts_nr = b->rows[BB_TABLE_ACCOUNTS]->len;
}

void bb_config_delete(struct bb_config *c)
{
	if (!c)
		return;
	for (size_t i = 0; i < c->services_nr; i++)
		g_free(c->services[i].backends);
	for (size_t i = 0; i < c->accounts_nr; i++)
		g_free(c->accounts[i].key_hashes);
	for (size_t i = 0; i < c->routes_nr; i++)
		g_free(c->routes[i].split);
	for (size_t i = 0; i < c->refusals_nr; i++)
		g_free(c->refusals[i]);
	g_free(c->refusals);
	g_free(c->hosts);
	g_free(c->services);
	g_free(c->backends);
	g_free(c->routes);
	g_free(c->accounts);
	bb_config_index_delete(c->index);
	g_free(c);
}

void bb_config_builder_delete(struct bb_config_builder *b)
{
	if (!b)
		return;
	update_tables(b);
	for (int i = 0; i < BB_TABLE_COUNT; i++)
		g_array_free(b->rows[i], FALSE);
	bb_config_delete(b->config);
	g_hash_table_destroy(b->zones);
	g_hash_table_destroy(b->endpoints);
	if (b->refusals)
		g_ptr_array_free(b->refusals, TRUE);
	g_free(b);
}

static int read_integer(const json_t *root, const char *field, json_int_t min,
			json_int_t max, json_int_t *out, struct bb_error *err)
{
	const struct bb_location location = { "document", 0, NULL, field };
	const json_t *value = json_object_get(root, field);

	if (!value)
		return bb_location_error(&location, err, "value is missing");
	if (!json_is_integer(value))
		return bb_location_error(&location, err,
					 "value is not a whole number");
	*out = json_integer_value(value);
	if (*out < min || *out > max)
		return bb_location_error(&location, err,
					 "%lld is not between %lld and %lld",
					 (long long)*out, (long long)min,
					 (long long)max);
	return 0;
}

static int read_optional_integer(const json_t *root, const char *field,
				 uint64_t max, uint64_t *out,
				 struct bb_error *err)
{
	json_int_t n = 0;

	if (json_object_get(root, field) &&
	    read_integer(root, field, 0, (json_int_t)max, &n, err))
		return -1;
	*out = n;
	return 0;
}

/* If both fields are missing, nothing is known of earlier versions. */
static int read_hosts_versions(struct bb_config *c, const json_t *root,
			       struct bb_error *err)
{
	if (read_optional_integer(root, "hosts_version", c->version,
				  &c->hosts_version, err))
		return -1;
	return read_optional_integer(root, "hosts_version_before",
				     c->hosts_version ? c->hosts_version - 1 :
							0,
				     &c->hosts_version_before, err);
}

int bb_config_builder_read_settings(struct bb_config_builder *b,
				    const json_t *root, struct bb_error *err)
{
	const struct bb_location location = { "document", 0, NULL,
					      "automation" };
	const json_t *automation = json_object_get(root, "automation");
	json_int_t n = 0;

	if (read_integer(root, "version", 1, INT64_MAX, &n, err))
		return -1;
	b->config->version = n;
	if (read_hosts_versions(b->config, root, err))
		return -1;
	if (read_integer(root, "idempotency_window_ms", 0,
			 IDEMPOTENCY_WINDOW_MAX_MS, &n, err))
		return -1;
	b->config->idempotency_window_ms = n;
	if (!json_is_boolean(automation))
		return bb_location_error(&location, err,
					 "value is not true or false");
	b->config->automation = json_is_true(automation);
	return bb_policies_read(&b->config->policies, (json_t *)root, err);
}

static int add_endpoint(struct bb_config_builder *b, const struct bb_host *h,
			uint16_t port, const char *column,
			struct bb_location *location, struct bb_error *err)
{
	char *key = g_strdup_printf("%s|%u", h->address, port);

	location->column = column;
	if (g_hash_table_contains(b->endpoints, key)) {
		g_free(key);
		return bb_location_error(location, err,
					 "address %s port %u is used twice",
					 h->address, port);
	}
	g_hash_table_add(b->endpoints, key);
	return 0;
}

static int finish_host(struct bb_config_builder *b,
		       struct bb_location *location, struct bb_host *h,
		       struct bb_error *err)
{
	gpointer id;

	if (add_endpoint(b, h, h->data_port, "data_port", location, err) ||
	    add_endpoint(b, h, h->control_port, "control_port", location, err))
		return -1;
	if (!g_hash_table_lookup_extended(b->zones, h->zone, NULL, &id)) {
		id = GUINT_TO_POINTER(g_hash_table_size(b->zones));
		g_hash_table_insert(b->zones, h->zone, id);
	}
	h->zone_id = GPOINTER_TO_UINT(id);
	return 0;
}

static guint hash_of_key_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean same_key_hash(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, BB_KEY_HASH_SIZE);
}

/* Nothing is indexed unless the whole row is valid. */
static int finish_account(struct bb_config_builder *b,
			  struct bb_location *location, uint32_t row,
			  struct bb_error *err)
{
	g_autoptr(GHashTable)
		own = g_hash_table_new(hash_of_key_hash, same_key_hash);
	struct bb_config *c = b->config;
	const struct bb_account *a = &c->accounts[row];

	location->column = "key_hashes";
	for (size_t i = 0; i < a->key_hashes_nr; i++) {
		uint32_t other = bb_config_index_find_hash(c, a->key_hashes[i]);
		char quoted[BB_QUOTE_SIZE];

		if (!g_hash_table_add(own, a->key_hashes[i]))
			other = row;
		if (other != BB_NO_ROW)
			return bb_location_error(
				location, err,
				"hash %zu is also in account \"%s\"", i + 1,
				bb_quote(c->accounts[other].name, quoted,
					 sizeof(quoted)));
	}
	for (size_t i = 0; i < a->key_hashes_nr; i++)
		bb_config_index_key(c, row, i);
	return 0;
}

/* Checks the rules between values, and sets what is derived from them. */
static int finish_row(struct bb_config_builder *b, enum bb_table table,
		      struct bb_location *location, uint32_t row,
		      struct bb_error *err)
{
	struct bb_config *c = b->config;
	uint32_t other;
	char quoted[BB_QUOTE_SIZE];

	switch (table) {
	case BB_TABLE_HOSTS:
		return finish_host(b, location, &c->hosts[row], err);
	case BB_TABLE_BACKENDS:
		location->column = "max_connections";
		if (c->backends[row].max_connections < c->backends[row].slots)
			return bb_location_error(
				location, err, "%u is less than slots %u",
				c->backends[row].max_connections,
				c->backends[row].slots);
		return 0;
	case BB_TABLE_ROUTES:
		location->column = "path_prefix";
		other = bb_config_index_route(c, row);
		if (other == BB_NO_ROW)
			return 0;
		return bb_location_error(
			location, err, "same prefix and method as route \"%s\"",
			bb_quote(c->routes[other].name, quoted,
				 sizeof(quoted)));
	case BB_TABLE_ACCOUNTS:
		return finish_account(b, location, row, err);
	case BB_TABLE_SERVICES:
		if (!c->services[row].health_path)
			c->services[row].health_path = BB_HEALTH_PATH_DEFAULT;
		return 0;
	case BB_TABLE_COUNT:
		break;
	}
	return 0;
}

static int check_fields(const struct bb_table_description *t,
			struct bb_location *location, json_t *object,
			struct bb_error *err)
{
	const char *field;
	json_t *value;
	char quoted[BB_QUOTE_SIZE];

	json_object_foreach (object, field, value) {
		size_t i;

		for (i = 0; i < t->columns_nr; i++)
			if (!strcmp(field, t->columns[i].name))
				break;
		if (i == t->columns_nr)
			return bb_location_error(
				location, err, "unknown column \"%s\"",
				bb_quote(field, quoted, sizeof(quoted)));
	}
	return 0;
}

static int read_row(struct bb_config_builder *b, enum bb_table table,
		    struct bb_location *location, json_t *object, char *row,
		    struct bb_error *err)
{
	const struct bb_table_description *t = &bb_tables[table];

	if (!json_is_object(object))
		return bb_location_error(location, err, "row is not an object");
	location->name = json_string_value(json_object_get(object, "name"));
	if (check_fields(t, location, object, err))
		return -1;
	for (size_t i = 0; i < t->columns_nr; i++) {
		const struct bb_column *column = &t->columns[i];
		const json_t *value = json_object_get(object, column->name);

		location->column = column->name;
		if (!value && column->optional)
			continue;
		if (!value)
			return bb_location_error(location, err,
						 "value is missing");
		if (bb_column_read(b, column, location, value,
				   row + column->offset, err))
			return -1;
	}
	return 0;
}

static int add_row(struct bb_config_builder *b, enum bb_table table,
		   struct bb_location *location, json_t *object,
		   struct bb_error *err)
{
	GArray *rows = b->rows[table];
	uint32_t row = rows->len;
	const char *name;

	g_array_set_size(rows, row + 1);
	update_tables(b);
	if (read_row(b, table, location, object,
		     rows->data + row * bb_tables[table].row_size, err))
		return -1;
	name = bb_config_row_name(b->config, table, row);
	location->column = "name";
	if (bb_config_index_find(b->config, table, name, strlen(name)) !=
	    BB_NO_ROW)
		return bb_location_error(location, err, "name is used twice");
	if (finish_row(b, table, location, row, err))
		return -1;
	bb_config_index_name(b->config, table, row);
	return 0;
}

/* Leaves out the last row of a table, of which nothing is indexed. */
static void refuse_row(struct bb_config_builder *b, enum bb_table table,
		       const json_t *object, const struct bb_error *why)
{
	GArray *rows = b->rows[table];
	const char *prefix =
		json_string_value(json_object_get(object, "path_prefix"));

	if (table == BB_TABLE_ROUTES)
		g_free(b->config->routes[rows->len - 1].split);
	if (table == BB_TABLE_ACCOUNTS)
		g_free(b->config->accounts[rows->len - 1].key_hashes);
	g_array_set_size(rows, rows->len - 1);
	update_tables(b);
	if (table == BB_TABLE_ROUTES && prefix &&
	    bb_config_is_path_prefix(prefix))
		bb_config_index_refused(
			b->config,
			json_string_value(json_object_get(object, "host_name")),
			prefix);
	g_ptr_array_add(b->refusals, g_strdup(why->message));
}

int bb_config_builder_add(struct bb_config_builder *b, enum bb_table table,
			  const json_t *rows, struct bb_error *err)
{
	struct bb_location location = {
		.table = b->label ? b->label : bb_tables[table].name
	};
	size_t first = b->rows[table]->len;
	struct bb_error why;
	size_t i;
	json_t *object;

	if (!json_is_array(rows))
		return bb_location_error(&location, err, "value is not a list");
	json_array_foreach (rows, i, object) {
		location.row = b->row_numbers ? b->row_numbers[i] :
						first + i + 1;
		location.name = NULL;
		location.column = NULL;
		if (!add_row(b, table, &location, object,
			     b->refusals ? &why : err))
			continue;
		if (!b->refusals || table == BB_TABLE_HOSTS) {
			if (b->refusals && err)
				*err = why;
			return -1;
		}
		refuse_row(b, table, object, &why);
	}
	return 0;
}

/* Lists the backend servers of each service and hashes the host names. */
static void finish_config(struct bb_config *c)
{
	XXH3_state_t *state = XXH3_createState();

	for (size_t i = 0; i < c->backends_nr; i++)
		c->services[c->backends[i].service].backends_nr++;
	for (size_t i = 0; i < c->services_nr; i++) {
		c->services[i].backends =
			g_new(uint32_t, c->services[i].backends_nr);
		c->services[i].backends_nr = 0;
	}
	for (size_t i = 0; i < c->backends_nr; i++) {
		struct bb_service *s = &c->services[c->backends[i].service];

		s->backends[s->backends_nr++] = i;
	}
	XXH3_64bits_reset(state);
	for (size_t i = 0; i < c->hosts_nr; i++)
		XXH3_64bits_update(state, c->hosts[i].name,
				   strlen(c->hosts[i].name) + 1);
	c->seats_hash = XXH3_64bits_digest(state);
	XXH3_freeState(state);
}

struct bb_config *bb_config_builder_finish(struct bb_config_builder *b,
					   struct bb_error *err)
{
	struct bb_config *c = b->config;

	update_tables(b);
	if (!c->hosts_nr) {
		bb_error_set(err, BB_ERROR_INVALID,
			     "hosts: at least one host is needed");
		bb_config_builder_delete(b);
		return NULL;
	}
	finish_config(c);
	for (int i = 0; i < BB_TABLE_COUNT; i++)
		g_array_free(b->rows[i], FALSE);
	g_hash_table_destroy(b->zones);
	g_hash_table_destroy(b->endpoints);
	if (b->refusals) {
		c->refusals_nr = b->refusals->len;
		c->refusals = (char **)g_ptr_array_free(b->refusals, FALSE);
	}
	g_free(b);
	return c;
}

json_t *bb_config_load_json(const char *json, size_t size, const char *what,
			    struct bb_error *err)
{
	json_error_t e;
	json_t *root = json_loadb(json, size, JSON_REJECT_DUPLICATES, &e);
	char *near;

	if (root && !json_is_object(root)) {
		json_decref(root);
		bb_error_set(err, BB_ERROR_INVALID, "%s: not a JSON object",
			     what);
		return NULL;
	}
	if (root)
		return root;
	/* The input that the parser quotes after "near" may contain a key. */
	near = strstr(e.text, " near ");
	if (near)
		*near = '\0';
	bb_error_set(err, BB_ERROR_INVALID, "%s line %d column %d: %s", what,
		     e.line, e.column, e.text);
	return NULL;
}

int bb_config_check_fields(json_t *root, bool tables, struct bb_error *err)
{
	static const char *const known[] = {
		"version",  "automation",    "idempotency_window_ms",
		"policies", "hosts_version", "hosts_version_before"
	};
	const struct bb_location location = { "document", 0, NULL, NULL };
	const char *field;
	json_t *value;
	char quoted[BB_QUOTE_SIZE];

	json_object_foreach (root, field, value) {
		bool found = false;

		for (size_t i = 0; i < G_N_ELEMENTS(known); i++)
			found = found || !strcmp(field, known[i]);
		for (int i = 0; tables && i < BB_TABLE_COUNT; i++)
			found = found || !strcmp(field, bb_tables[i].name);
		if (!found)
			return bb_location_error(
				&location, err, "unknown field \"%s\"",
				bb_quote(field, quoted, sizeof(quoted)));
	}
	return 0;
}

static int add_document(struct bb_config_builder *b, json_t *root,
			struct bb_error *err)
{
	if (bb_config_check_fields(root, true, err) ||
	    bb_config_builder_read_settings(b, root, err))
		return -1;
	for (int i = 0; i < BB_TABLE_COUNT; i++) {
		const json_t *rows = json_object_get(root, bb_tables[i].name);

		/* Any table but the hosts may be missing. */
		if (rows && bb_config_builder_add(b, i, rows, err))
			return -1;
	}
	return 0;
}

/* @leave_out: leave out rows that are not valid */
static struct bb_config *parse(const char *json, size_t size, bool leave_out,
			       struct bb_error *err)
{
	struct bb_config_builder *b;
	json_t *root;

	if (sodium_init() < 0) {
		bb_error_set(err, BB_ERROR_STATE, "libsodium failed to start");
		return NULL;
	}
	root = bb_config_load_json(json, size, "document", err);
	if (!root)
		return NULL;
	b = bb_config_builder_new();
	b->refusals = leave_out ? g_ptr_array_new_with_free_func(g_free) : NULL;
	if (add_document(b, root, err)) {
		json_decref(root);
		bb_config_builder_delete(b);
		return NULL;
	}
	json_decref(root);
	return bb_config_builder_finish(b, err);
}

struct bb_config *bb_config_parse(const char *json, size_t size,
				  struct bb_error *err)
{
	return parse(json, size, false, err);
}

struct bb_config *bb_config_parse_rows(const char *json, size_t size,
				       struct bb_error *err)
{
	return parse(json, size, true, err);
}
