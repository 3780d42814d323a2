/*
 * Hash indexes of a snapshot: names, key hashes, and the tree of path segments
 * by which routes are matched.
 */
#include "config_internal.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#include "uri_path.h"

/* Number of slots of a new index; a power of two. */
#define HASH_INDEX_SLOTS_MIN 16

static void hash_index_put(struct bb_hash_index *s, uint32_t hash, uint32_t row)
{
	size_t i = hash & (s->size - 1);

	while (s->rows[i] != BB_NO_ROW)
		i = (i + 1) & (s->size - 1);
	s->hashes[i] = hash;
	s->rows[i] = row;
	s->used++;
}

static void hash_index_resize(struct bb_hash_index *s, size_t size)
{
	struct bb_hash_index old = *s;

	s->size = size;
	s->used = 0;
	s->hashes = g_new(uint32_t, size);
	s->rows = g_new(uint32_t, size);
	memset(s->rows, 0xff, size * sizeof(*s->rows));
	for (size_t i = 0; i < old.size; i++)
		if (old.rows[i] != BB_NO_ROW)
			hash_index_put(s, old.hashes[i], old.rows[i]);
	g_free(old.hashes);
	g_free(old.rows);
}

static void hash_index_add(struct bb_hash_index *s, uint32_t hash, uint32_t row)
{
	/* Use at most two thirds of the slots, so that probing is short. */
	if (!s->size || s->used * 3 >= s->size * 2)
		hash_index_resize(s,
				  s->size ? s->size * 2 : HASH_INDEX_SLOTS_MIN);
	hash_index_put(s, hash, row);
}

/* Next row with this hash; *pos is the number of slots probed, 0 at first. */
static uint32_t hash_index_next(const struct bb_hash_index *s, uint32_t hash,
				size_t *pos)
{
	while (*pos < s->size) {
		size_t i = (hash + (*pos)++) & (s->size - 1);

		if (s->rows[i] == BB_NO_ROW)
			return BB_NO_ROW;
		if (s->hashes[i] == hash)
			return s->rows[i];
	}
	return BB_NO_ROW;
}

static uint32_t hash_name(const char *name, size_t size)
{
	return (uint32_t)XXH3_64bits(name, size);
}

static uint32_t hash_segment(uint32_t parent, const char *segment, size_t size)
{
	return (uint32_t)XXH3_64bits_withSeed(segment, size, parent);
}

static uint32_t hash_key(const uint8_t *key_hash)
{
	uint32_t hash;

	memcpy(&hash, key_hash, sizeof(hash));
	return hash;
}

struct bb_config_index *bb_config_index_new(void)
{
	struct bb_config_index *index = g_new0(struct bb_config_index, 1);
	struct bb_path_node root = { .parent = BB_NO_ROW,
				     .first_route = BB_NO_ROW };

	index->strings = g_string_chunk_new(4096);
	index->key_entries =
		g_array_new(FALSE, FALSE, sizeof(struct bb_key_entry));
	index->path_nodes =
		g_array_new(FALSE, FALSE, sizeof(struct bb_path_node));
	index->route_next = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_val(index->path_nodes, root);
	return index;
}

static void hash_index_finish(struct bb_hash_index *s)
{
	g_free(s->hashes);
	g_free(s->rows);
}

void bb_config_index_delete(struct bb_config_index *index)
{
	if (!index)
		return;
	g_string_chunk_free(index->strings);
	g_array_free(index->key_entries, TRUE);
	g_array_free(index->path_nodes, TRUE);
	g_array_free(index->route_next, TRUE);
	for (int i = 0; i < BB_TABLE_COUNT; i++)
		hash_index_finish(&index->names[i]);
	hash_index_finish(&index->keys);
	hash_index_finish(&index->paths);
	g_free(index);
}

void bb_config_index_name(struct bb_config *c, enum bb_table table,
			  uint32_t row)
{
	const char *name = bb_config_row_name(c, table, row);

	hash_index_add(&c->index->names[table], hash_name(name, strlen(name)),
		       row);
}

uint32_t bb_config_index_find(const struct bb_config *c, enum bb_table table,
			      const char *name, size_t size)
{
	uint32_t hash = hash_name(name, size);
	uint32_t row;
	size_t pos = 0;

	while ((row = hash_index_next(&c->index->names[table], hash, &pos)) !=
	       BB_NO_ROW) {
		const char *s = bb_config_row_name(c, table, row);

		if (strlen(s) == size && !memcmp(s, name, size))
			return row;
	}
	return BB_NO_ROW;
}

uint32_t bb_config_find_host(const struct bb_config *c, const char *name,
			     size_t size)
{
	return bb_config_index_find(c, BB_TABLE_HOSTS, name, size);
}

uint32_t bb_config_find_service(const struct bb_config *c, const char *name,
				size_t size)
{
	return bb_config_index_find(c, BB_TABLE_SERVICES, name, size);
}

uint32_t bb_config_find_backend(const struct bb_config *c, const char *name,
				size_t size)
{
	return bb_config_index_find(c, BB_TABLE_BACKENDS, name, size);
}

uint32_t bb_config_find_route(const struct bb_config *c, const char *name,
			      size_t size)
{
	return bb_config_index_find(c, BB_TABLE_ROUTES, name, size);
}

uint32_t bb_config_find_account(const struct bb_config *c, const char *name,
				size_t size)
{
	return bb_config_index_find(c, BB_TABLE_ACCOUNTS, name, size);
}

void bb_config_index_key(struct bb_config *c, uint32_t account, uint32_t nth)
{
	struct bb_key_entry entry = { account, nth };
	uint32_t hash = hash_key(c->accounts[account].key_hashes[nth]);

	hash_index_add(&c->index->keys, hash, c->index->key_entries->len);
	g_array_append_val(c->index->key_entries, entry);
}

uint32_t bb_config_index_find_hash(const struct bb_config *c,
				   const uint8_t *hash)
{
	uint32_t i;
	size_t pos = 0;

	while ((i = hash_index_next(&c->index->keys, hash_key(hash), &pos)) !=
	       BB_NO_ROW) {
		const struct bb_key_entry *e = &g_array_index(
			c->index->key_entries, struct bb_key_entry, i);

		if (!sodium_memcmp(c->accounts[e->account].key_hashes[e->nth],
				   hash, BB_KEY_HASH_SIZE))
			return e->account;
	}
	return BB_NO_ROW;
}

uint32_t bb_config_find_key(const struct bb_config *c, const char *key,
			    size_t size)
{
	uint8_t hash[BB_KEY_HASH_SIZE];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key, size,
			   NULL, 0);
	return bb_config_index_find_hash(c, hash);
}

static struct bb_path_node *path_node(const struct bb_config *c, uint32_t i)
{
	return &g_array_index(c->index->path_nodes, struct bb_path_node, i);
}

static uint32_t find_child(const struct bb_config *c, uint32_t parent,
			   const char *segment, size_t size)
{
	uint32_t hash = hash_segment(parent, segment, size);
	uint32_t i;
	size_t pos = 0;

	while ((i = hash_index_next(&c->index->paths, hash, &pos)) !=
	       BB_NO_ROW) {
		const struct bb_path_node *n = path_node(c, i);

		if (n->parent == parent && n->segment_size == size &&
		    !memcmp(n->segment, segment, size))
			return i;
	}
	return BB_NO_ROW;
}

static uint32_t add_child(struct bb_config *c, uint32_t parent,
			  const char *segment, size_t size)
{
	struct bb_path_node n = { .parent = parent,
				  .first_route = BB_NO_ROW,
				  .segment = segment,
				  .segment_size = size };
	uint32_t i = c->index->path_nodes->len;

	hash_index_add(&c->index->paths, hash_segment(parent, segment, size),
		       i);
	g_array_append_val(c->index->path_nodes, n);
	return i;
}

/* Value of @parent in the roots of the routes with a host name. */
#define HOST_ROOTS_PARENT (BB_NO_ROW - 1)

/*
 * Root of the routes with a host name, which is in lower case, or BB_NO_ROW.
 * Without a host name it is node 0.
 */
static uint32_t find_root(const struct bb_config *c, const char *lower)
{
	return lower ? find_child(c, HOST_ROOTS_PARENT, lower, strlen(lower)) :
		       0;
}

static char *lower_name(const char *host)
{
	return host ? g_ascii_strdown(host, -1) : NULL;
}

static uint32_t find_or_add_root(struct bb_config *c, const char *host)
{
	char *lower = lower_name(host);
	uint32_t root = find_root(c, lower);

	if (root == BB_NO_ROW)
		root = add_child(c, HOST_ROOTS_PARENT,
				 g_string_chunk_insert_const(c->index->strings,
							     lower),
				 strlen(lower));
	g_free(lower);
	return root;
}

/* Normal form of a prefix, which lives as long as the index. */
static const char *normal_prefix(struct bb_config *c, const char *prefix)
{
	char *normal = bb_uri_path_normalize(prefix);
	const char *kept =
		normal ? g_string_chunk_insert(c->index->strings, normal) :
			 prefix;

	g_free(normal);
	return kept;
}

/*
 * A prefix that ends in '/' has an empty last segment, which matches any
 * further segments; "/" itself is the root.
 */
static uint32_t find_or_add_node(struct bb_config *c, const char *host,
				 const char *prefix)
{
	const char *normal = normal_prefix(c, prefix);
	const char *s = normal;
	uint32_t node = find_or_add_root(c, host);

	while (s[0] == '/' && (s[1] || s != normal)) {
		size_t size = strcspn(++s, "/");
		uint32_t child = find_child(c, node, s, size);

		if (child == BB_NO_ROW)
			child = add_child(c, node, s, size);
		node = child;
		s += size;
	}
	return node;
}

uint32_t bb_config_index_route(struct bb_config *c, uint32_t route)
{
	uint32_t node = find_or_add_node(c, c->routes[route].host_name,
					 c->routes[route].path_prefix);
	uint32_t next = path_node(c, node)->first_route;

	for (uint32_t i = next; i != BB_NO_ROW;
	     i = g_array_index(c->index->route_next, uint32_t, i))
		if (c->routes[i].methods & c->routes[route].methods)
			return i;
	g_array_append_val(c->index->route_next, next);
	path_node(c, node)->first_route = route;
	return BB_NO_ROW;
}

void bb_config_index_refused(struct bb_config *c, const char *host,
			     const char *prefix)
{
	char *kept = g_string_chunk_insert(c->index->strings, prefix);
	uint32_t node = find_or_add_node(c, host, kept);

	path_node(c, node)->refused = true;
}

/* Longest prefix of a path so far: its first route, or whether it was refused. */
struct match {
	uint32_t first;
	bool refused;
};

static void update_match(const struct bb_config *c, uint32_t node,
			 struct match *m)
{
	const struct bb_path_node *n = path_node(c, node);

	if (n->first_route == BB_NO_ROW && !n->refused)
		return;
	m->first = n->first_route;
	m->refused = n->first_route == BB_NO_ROW;
}

/* Longest matching prefix below a root. */
static struct match longest_prefix(const struct bb_config *c, uint32_t root,
				   const char *path)
{
	struct match m = { BB_NO_ROW, false };
	uint32_t node = root;
	const char *s = path;

	update_match(c, root, &m);
	while (s[0] == '/') {
		size_t size = strcspn(++s, "/");
		uint32_t any = node == root ? BB_NO_ROW :
					      find_child(c, node, "", 0);

		if (any != BB_NO_ROW)
			update_match(c, any, &m);
		node = find_child(c, node, s, size);
		if (node == BB_NO_ROW)
			break;
		update_match(c, node, &m);
		s += size;
	}
	return m;
}

static uint32_t route_of_method(const struct bb_config *c, uint32_t first,
				unsigned int method)
{
	for (uint32_t i = first; i != BB_NO_ROW;
	     i = g_array_index(c->index->route_next, uint32_t, i))
		if (c->routes[i].methods & method)
			return i;
	return BB_NO_ROW;
}

/*
 * Longest prefix below the root of the host name, or below that of the routes
 * without one if no route has the method there.
 */
static uint32_t match_path(const struct bb_config *c, const char *host,
			   const char *path, unsigned int method,
			   bool *path_matched, bool *refused)
{
	char *lower = lower_name(host);
	uint32_t roots[] = { find_root(c, lower), 0 };
	char *normal = bb_uri_path_normalize(path);
	uint32_t route = BB_NO_ROW;

	g_free(lower);
	for (size_t i = host ? 0 : 1;
	     route == BB_NO_ROW && !*refused && i < G_N_ELEMENTS(roots); i++) {
		struct match m;

		if (roots[i] == BB_NO_ROW)
			continue;
		m = longest_prefix(c, roots[i], normal ? normal : path);
		route = route_of_method(c, m.first, method);
		*path_matched = *path_matched || m.first != BB_NO_ROW;
		*refused = m.refused;
	}
	g_free(normal);
	return route;
}

uint32_t bb_config_match_route(const struct bb_config *c, const char *host,
			       const char *path, unsigned int method,
			       bool *path_matched)
{
	uint32_t route = BB_NO_ROW;
	bool refused = false;

	*path_matched = false;
	if (path[0] == '/')
		route = match_path(c, host, path, method, path_matched,
				   &refused);
	if (route != BB_NO_ROW)
		*path_matched = false;
	return route;
}

bool bb_config_is_refused_path(const struct bb_config *c, const char *host,
			       const char *path)
{
	bool path_matched = false, refused = false;

	if (c->refusals_nr && path[0] == '/')
		match_path(c, host, path, 0, &path_matched, &refused);
	return refused;
}
