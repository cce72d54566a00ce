/** The client alone; undici's main module also loads its fetch and mocks. */
declare module "undici/lib/dispatcher/client.js" {
  import { Client } from "undici";
  export default Client;
}
