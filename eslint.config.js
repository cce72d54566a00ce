import tseslint from "typescript-eslint";

export default tseslint.config(
  {
    ignores: ["target/**", "**/lib/**", "**/node_modules/**", "**/generated/**", "*.js"],
  },
  ...tseslint.configs.strict,
  {
    languageOptions: {
      parserOptions: { projectService: true },
    },
    rules: {
      "@typescript-eslint/switch-exhaustiveness-check": "error",
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/prefer-readonly": "error",
      "@typescript-eslint/consistent-type-imports": "error",
      "no-console": "error",
    },
  },
);
