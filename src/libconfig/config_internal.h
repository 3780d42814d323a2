/*
 * Internals of the configuration package: the columns of each table, the
 * builder that adds validated rows, and the hash indexes of a snapshot.
 */
#ifndef LIBCONFIG_CONFIG_INTERNAL_H
#define LIBCONFIG_CONFIG_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "baobabward/config.h"

/* Health endpoint of the backend servers of a service that names none. */
#define BB_HEALTH_PATH_DEFAULT "/health"
/* Longest accepted path prefix, in bytes. */
#define BB_PATH_PREFIX_MAX 1024

/* Tables of a document, in the order in which their rows may refer back. */
enum bb_table {
	BB_TABLE_HOSTS,
	BB_TABLE_SERVICES,
	BB_TABLE_BACKENDS,
	BB_TABLE_ROUTES,
	BB_TABLE_ACCOUNTS,
	BB_TABLE_COUNT
};

/* Methods in the order of the bits of enum bb_method. */
#define BB_METHOD_COUNT 6
extern const char *const bb_method_string[BB_METHOD_COUNT];

enum bb_column_kind {
	BB_COLUMN_NAME,
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
 * @min: least number, for numeric kinds
 * @max: greatest number, for numeric kinds
 * @kind: type of the value
 * @optional: the field may be missing
 * @sparse: the field is not written while it has its default value
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

struct bb_table_description {
	const char *name;
	const struct bb_column *columns;
	size_t columns_nr;
	size_t row_size;
};

extern const struct bb_table_description bb_tables[BB_TABLE_COUNT];

/**
 * struct bb_place - where a value stands, for error messages.
 * @table: table or file name
 * @row: row number from 1, 0 for the document itself
 * @name: name of the row, or NULL
 * @column: column name, or NULL
 */
struct bb_place {
	const char *table;
	size_t row;
	const char *name;
	const char *column;
};

/* Open-addressing hash index: 32 bits of hash and a row per slot. */
struct bb_slots {
	uint32_t *hashes;
	uint32_t *rows;
	size_t size;
	size_t used;
};

/* Node of the tree of path segments. */
struct bb_path_node {
	uint32_t parent;
	uint32_t first_route;
	const char *segment;
	uint32_t segment_size;
};

struct bb_key_entry {
	uint32_t account;
	uint32_t nth;
};

struct bb_config_index {
	GStringChunk *strings;
	struct bb_slots names[BB_TABLE_COUNT];
	struct bb_slots keys;
	GArray *key_entries;
	struct bb_slots paths;
	GArray *path_nodes;
	GArray *route_next;
};

/**
 * struct bb_config_builder - snapshot under construction.
 * @config: the snapshot; its tables are valid after each added row
 * @rows: rows of each table
 * @zones: zone name to zone number
 * @endpoints: set of address and port pairs of the hosts
 * @label: replaces the table name in errors, or NULL
 * @row_numbers: row number of each row in errors, or NULL to count from 1
 */
struct bb_config_builder {
	struct bb_config *config;
	GArray *rows[BB_TABLE_COUNT];
	GHashTable *zones;
	GHashTable *endpoints;
	const char *label;
	const size_t *row_numbers;
};

struct bb_config_builder *bb_config_builder_new(void);
void bb_config_builder_delete(struct bb_config_builder *b);

/* Reads the fields of the document that are no tables. */
int bb_config_builder_set_globals(struct bb_config_builder *b,
				  const json_t *root, struct bb_error *err);
/* Refuses unknown fields of a document, or of a page without tables. */
int bb_config_check_fields(json_t *root, bool tables, struct bb_error *err);
/* Validates and adds rows of one table. */
int bb_config_builder_add(struct bb_config_builder *b, enum bb_table table,
			  const json_t *rows, struct bb_error *err);
/* Checks the whole and returns the snapshot; frees the builder always. */
struct bb_config *bb_config_builder_finish(struct bb_config_builder *b,
					   struct bb_error *err);
/* Parses JSON text without quoting any of it in the error. */
json_t *bb_config_load_json(const char *json, size_t size, const char *what,
			    struct bb_error *err);

/* Reads a value into its field; the cross-row rules are the builder's. */
int bb_column_read(struct bb_config_builder *b, const struct bb_column *column,
		   const struct bb_place *place, const json_t *value,
		   void *field, struct bb_error *err);

int bb_place_fail(const struct bb_place *place, struct bb_error *err,
		  const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* Copies a value for an error message: cut, printable, keys masked. */
const char *bb_quote(const char *value, char *buffer, size_t size);
/* Size of the buffer that bb_quote() callers use. */
#define BB_QUOTE_SIZE 72

/* Appends a value, or a row, as JSON. */
/**
 * bb_config_is_left_out() - whether a written row leaves out a column, since it
 * is sparse and has its default.
 */
bool bb_config_is_left_out(const struct bb_column *column, const void *row);

void bb_config_write_value(GString *out, const struct bb_config *c,
			   const struct bb_column *column, const void *row);
void bb_config_write_row(GString *out, const struct bb_config *c,
			 enum bb_table table, const void *row);
void bb_config_write_string(GString *out, const char *s);
/* Appends the members that are neither tables nor the version, as far as they
 * have a value. */
void bb_config_write_settings(GString *out, const struct bb_config *c);

const void *bb_config_row(const struct bb_config *c, enum bb_table table,
			  size_t i);
size_t bb_config_rows_nr(const struct bb_config *c, enum bb_table table);
const char *bb_config_row_name(const struct bb_config *c, enum bb_table table,
			       size_t i);

struct bb_config_index *bb_config_index_new(void);
void bb_config_index_delete(struct bb_config_index *index);
void bb_config_index_name(struct bb_config *c, enum bb_table table,
			  uint32_t row);
uint32_t bb_config_index_find(const struct bb_config *c, enum bb_table table,
			      const char *name, size_t size);
/* Finds the account of a key hash. */
uint32_t bb_config_index_find_hash(const struct bb_config *c,
				   const uint8_t *hash);
void bb_config_index_key(struct bb_config *c, uint32_t account, uint32_t nth);
/* Adds a route; returns a route with the same prefix and method, if any. */
uint32_t bb_config_index_route(struct bb_config *c, uint32_t route);

#endif
