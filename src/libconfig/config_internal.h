/*
 * Internals of the configuration package: the columns of each table, the
 * builder that adds validated rows, and the hash indexes of a snapshot.
 */
#ifndef LIBCONFIG_CONFIG_INTERNAL_H
#define LIBCONFIG_CONFIG_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "baobabward/config.h"

/* Path of the health endpoint for services whose health_path is missing. */
#define BB_HEALTH_PATH_DEFAULT "/health"
/* Maximum length of a path prefix, in bytes. */
#define BB_PATH_PREFIX_MAX 1024

/* Tables of a document; rows refer only to rows of earlier tables. */
enum bb_table {
	BB_TABLE_HOSTS,
	BB_TABLE_SERVICES,
	BB_TABLE_BACKENDS,
	BB_TABLE_ROUTES,
	BB_TABLE_ACCOUNTS,
	BB_TABLE_COUNT
};

#define BB_METHOD_COUNT 6
/* Names of the methods in the order of the bits of enum bb_method. */
extern const char *const bb_method_string[BB_METHOD_COUNT];

/* Types of values. */
enum bb_column_kind {
	BB_COLUMN_NAME,
	BB_COLUMN_LABEL,
	BB_COLUMN_HOST_NAME,
	BB_COLUMN_TARGET,
	BB_COLUMN_ADDRESS,
	BB_COLUMN_URL,
	BB_COLUMN_PATH,
	BB_COLUMN_CURVE_KEY,
	BB_COLUMN_U16,
	BB_COLUMN_U32,
	BB_COLUMN_REAL,
	BB_COLUMN_BOOL,
	BB_COLUMN_HOST,
	BB_COLUMN_SERVICE,
	BB_COLUMN_STATE,
	BB_COLUMN_METHODS,
	BB_COLUMN_ACCESS,
	BB_COLUMN_SPLIT,
	BB_COLUMN_KEY_HASHES,
	BB_COLUMN_KIND_COUNT
};

/**
 * struct bb_column - a column of a table.
 * @name: field name in the document
 * @offset: offset of the field in the row struct
 * @min: minimum value, for numeric kinds
 * @max: maximum value, for numeric kinds
 * @kind: type of the value
 * @optional: the field may be missing
 * @sparse: the field is omitted from written rows if it has its default value
 */
struct bb_column {
	const char *name;
	size_t offset;
	double min;
	double max;
	enum bb_column_kind kind;
	bool optional;
	bool sparse;
};

/* A table: its name in the document, its columns and its row struct. */
struct bb_table_description {
	const char *name;
	const struct bb_column *columns;
	size_t columns_nr;
	size_t row_size;
};

extern const struct bb_table_description bb_tables[BB_TABLE_COUNT];

/**
 * struct bb_location - location of a value in the input, for error messages.
 * @table: table or file name
 * @row: row number from 1, 0 for the document itself
 * @name: name of the row, or NULL
 * @column: column name, or NULL
 */
struct bb_location {
	const char *table;
	size_t row;
	const char *name;
	const char *column;
};

/**
 * struct bb_hash_index - hash index with open addressing.
 * @hashes: 32 bits of hash for each slot
 * @rows: row for each slot, BB_NO_ROW in a free one
 * @size: number of slots, a power of two
 * @used: number of slots with a row
 *
 * Several rows may have the same hash: the caller compares the keys.
 */
struct bb_hash_index {
	uint32_t *hashes;
	uint32_t *rows;
	size_t size;
	size_t used;
};

/**
 * struct bb_path_node - node of the tree of path segments.
 * @parent: index of the parent node, BB_NO_ROW for the root of the routes
 *          without a host name
 * @first_route: first route whose prefix ends here, BB_NO_ROW for none
 * @refused: the prefix of a refused route ends here
 * @segment: path segment without slashes, not terminated; host name in the
 *           roots of the routes with one
 * @segment_size: number of bytes of @segment
 */
struct bb_path_node {
	uint32_t parent;
	uint32_t first_route;
	bool refused;
	const char *segment;
	uint32_t segment_size;
};

/* A key hash: the @nth one of an account, counted from 0. */
struct bb_key_entry {
	uint32_t account;
	uint32_t nth;
};

/**
 * struct bb_config_index - hash indexes of a snapshot, and its strings.
 * @strings: strings to which the rows point
 * @names: rows of each table by name
 * @keys: @key_entries by key hash
 * @key_entries: array of struct bb_key_entry
 * @paths: @path_nodes by parent and segment
 * @path_nodes: array of struct bb_path_node
 * @route_next: for each route the next one with the same prefix, or BB_NO_ROW
 */
struct bb_config_index {
	GStringChunk *strings;
	struct bb_hash_index names[BB_TABLE_COUNT];
	struct bb_hash_index keys;
	GArray *key_entries;
	struct bb_hash_index paths;
	GArray *path_nodes;
	GArray *route_next;
};

/**
 * struct bb_config_builder - snapshot under construction.
 * @config: the snapshot; its tables are valid after each added row
 * @rows: array of row structs for each table
 * @zones: zone name to zone number
 * @endpoints: set of address and port pairs of the hosts
 * @label: replaces the table name in errors, or NULL
 * @row_numbers: row number of each row in errors, or NULL to count from 1
 * @refusals: why rows were left out, NULL to fail at the first one instead
 */
struct bb_config_builder {
	struct bb_config *config;
	GArray *rows[BB_TABLE_COUNT];
	GHashTable *zones;
	GHashTable *endpoints;
	const char *label;
	const size_t *row_numbers;
	GPtrArray *refusals;
};

struct bb_config_builder *bb_config_builder_new(void);
void bb_config_builder_delete(struct bb_config_builder *b);

/* Reads the fields of the document that are not tables. */
int bb_config_builder_read_settings(struct bb_config_builder *b,
				    const json_t *root, struct bb_error *err);
/*
 * Fails for an unknown field. @tables tells whether tables are allowed, as in a
 * document but not in a settings page.
 */
int bb_config_check_fields(json_t *root, bool tables, struct bb_error *err);
/* Validates rows of one table and adds them. */
int bb_config_builder_add(struct bb_config_builder *b, enum bb_table table,
			  const json_t *rows, struct bb_error *err);
/* Checks the whole and returns the snapshot, or NULL; always frees @b. */
struct bb_config *bb_config_builder_finish(struct bb_config_builder *b,
					   struct bb_error *err);
/* Parses JSON text without quoting any of it in the error. */
json_t *bb_config_load_json(const char *json, size_t size, const char *what,
			    struct bb_error *err);

/*
 * Reads a value into its field. Checks the rules of single values; the builder
 * checks the rules between values.
 */
int bb_column_read(struct bb_config_builder *b, const struct bb_column *column,
		   const struct bb_location *location, const json_t *value,
		   void *field, struct bb_error *err);

/* Whether a string is valid as the prefix of a route. */
bool bb_config_is_path_prefix(const char *s);

/* Fills in an error that begins with a location; returns -1. */
int bb_location_error(const struct bb_location *location, struct bb_error *err,
		      const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/*
 * Copies a value for an error message: truncated, with non-printable bytes
 * replaced, and masked if it contains a key.
 */
const char *bb_quote(const char *value, char *buffer, size_t size);
/* Buffer size for bb_quote(), in bytes. */
#define BB_QUOTE_SIZE 72

/* True if a written row omits a column: it is sparse and has its default. */
bool bb_config_is_omitted(const struct bb_column *column, const void *row);

/* Appends a value, a row or a string as JSON. */
void bb_config_write_value(GString *out, const struct bb_config *c,
			   const struct bb_column *column, const void *row);
void bb_config_write_row(GString *out, const struct bb_config *c,
			 enum bb_table table, const void *row);
void bb_config_write_string(GString *out, const char *s);
/*
 * Appends the members of a document that are neither tables nor the version, as
 * far as they have a value.
 */
void bb_config_write_settings(GString *out, const struct bb_config *c);

/* policies.c */

/**
 * bb_policies_read() - read the policies of a document.
 * @p: filled in; a policy that is not named is 0
 * @root: the document
 * @err: names the policy and the rule on failure
 *
 * Return: 0, or -1.
 */
int bb_policies_read(struct bb_policies *p, json_t *root, struct bb_error *err);

/**
 * bb_policies_write() - append the policies that are not 0 as a field of an
 * object.
 */
void bb_policies_write(GString *out, const struct bb_policies *p);

/**
 * bb_policy_change_fn() - callback for a policy that differs.
 */
typedef void bb_policy_change_fn(void *data, const char *name, uint32_t before,
				 uint32_t after);

/**
 * bb_policies_diff() - compare the policies of two documents.
 */
void bb_policies_diff(const struct bb_policies *before,
		      const struct bb_policies *after, bb_policy_change_fn *fn,
		      void *data);

const void *bb_config_row(const struct bb_config *c, enum bb_table table,
			  size_t i);
size_t bb_config_rows_nr(const struct bb_config *c, enum bb_table table);
const char *bb_config_row_name(const struct bb_config *c, enum bb_table table,
			       size_t i);

struct bb_config_index *bb_config_index_new(void);
void bb_config_index_delete(struct bb_config_index *index);
/* Adds the name of a row to the index of its table. */
void bb_config_index_name(struct bb_config *c, enum bb_table table,
			  uint32_t row);
uint32_t bb_config_index_find(const struct bb_config *c, enum bb_table table,
			      const char *name, size_t size);
/* Finds the client account of a key hash; returns its handle or BB_NO_ROW. */
uint32_t bb_config_index_find_hash(const struct bb_config *c,
				   const uint8_t *hash);
/* Adds the nth key hash of a client account to the index. */
void bb_config_index_key(struct bb_config *c, uint32_t account, uint32_t nth);
/*
 * Adds a route, unless another one has the same host name, prefix and method:
 * then it returns that one, else BB_NO_ROW.
 */
uint32_t bb_config_index_route(struct bb_config *c, uint32_t route);
/* Marks the prefix of a route that was refused. */
void bb_config_index_refused(struct bb_config *c, const char *host,
			     const char *prefix);

#endif
