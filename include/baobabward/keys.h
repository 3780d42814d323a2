/*
 * Keys by which client accounts authenticate: a fixed prefix and 256 random
 * bits. The configuration holds only their BLAKE2b-256 hashes.
 */
#ifndef BAOBABWARD_KEYS_H
#define BAOBABWARD_KEYS_H

#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"
#include "baobabward/error.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Prefix of every generated key; error messages mask text that contains it. */
#define BB_KEY_PREFIX "bbk_"
/* Size of a generated key in bytes, with the NUL. */
#define BB_KEY_TEXT_SIZE 48
/* Size of a hash in hexadecimal digits, with the NUL. */
#define BB_KEY_HASH_HEX_SIZE (BB_KEY_HASH_SIZE * 2 + 1)

/**
 * bb_key_generate() - generate a random key.
 * @key: filled with the key and a NUL
 * @err: filled in on failure
 *
 * Return: 0, or -1.
 */
int bb_key_generate(char key[BB_KEY_TEXT_SIZE], struct bb_error *err);

/**
 * bb_key_hash_hex() - hash a key for the configuration.
 * @key: the key
 * @size: number of bytes of the key
 * @hex: filled with lower-case hexadecimal digits and a NUL
 */
void bb_key_hash_hex(const char *key, size_t size,
		     char hex[BB_KEY_HASH_HEX_SIZE]);

/**
 * bb_key_hash_parse() - read a hash from its hexadecimal form.
 * @hex: lower-case hexadecimal digits, may be NULL
 * @size: number of digits
 * @hash: filled with the hash
 *
 * Return: 0, or -1 if the digits are not a hash.
 */
int bb_key_hash_parse(const char *hex, size_t size,
		      uint8_t hash[BB_KEY_HASH_SIZE]);

#ifdef __cplusplus
}
#endif
#endif
